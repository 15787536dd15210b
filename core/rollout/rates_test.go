package rollout

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// size is a fleet: routers, old upstreams and requests per second.
type size struct {
	routers, old int
	rate         float64
}

// set applies a word KEY=VALUE of a script to a roll-out.
func (s *rollOut) set(word string) error {
	key, value, _ := strings.Cut(word, "=")
	number, _ := strconv.ParseFloat(value, 64)
	duration, _ := time.ParseDuration(value)
	switch key {
	case "fail":
		s.version.fail = number
	case "hang":
		s.version.hang = number
	case "slow":
		s.version.slow = number
	case "factor":
		s.version.factor = number
	case "from":
		s.version.from = duration
	case "route":
		s.version.route = int(number)
	case "load":
		s.version.load = number
	case "hour":
		s.hour = value
	case "duration":
		s.duration = duration
	case "stream":
		s.stream = duration
	case "takeover":
		s.takeover = duration
	case "cut":
		s.cut = number
	case "restart":
		s.restart = number
	case "rate":
		s.rate = number
	default:
		return fmt.Errorf("unknown word %q", word)
	}
	return nil
}

var sizes = []size{{24, 12, 60}, {117, 60, 250}, {388, 140, 600}}

// TestRates measures how often good and bad releases get the wrong verdict, by the cases of
// testdata/rates.txt. It guards against bad releases that complete, good ones that are rolled
// back, and bad ones that get too many requests or get some too long. ROLLOUT_SEEDS is the
// number of seeds of each case and
// size; without it, each case runs at one size.
func TestRates(t *testing.T) {
	text, err := os.ReadFile("testdata/rates.txt")
	if err != nil {
		t.Fatal(err)
	}
	seeds := 1
	if given := os.Getenv("ROLLOUT_SEEDS"); given != "" {
		if seeds, err = strconv.Atoi(given); err != nil {
			t.Fatal(err)
		}
	}
	type total struct{ runs, wrong, over int }
	cases := 0
	totals := map[string]*total{}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		given, want, _ := strings.Cut(line, " -> ")
		cases++
		for i, z := range sizes {
			if seeds == 1 && i != cases%len(sizes) {
				continue // each case at one size takes a few seconds
			}
			wrong, over, late, unended, most := 0, 0, 0, 0, 0.0
			for seed := range seeds {
				s := newRollOut(t, z, given)
				end := s.run(uint64(seed) + 1)
				bound := s.limits.Share*float64(s.requests) + s.limits.Slack
				if end.Stage.String() != want || (want == RolledBack.String() && float64(s.exposed) > bound) {
					wrong += number(end.Stage.String() != want)
					if os.Getenv("ROLLOUT_WHY") != "" {
						t.Logf("%s seed %d: %s at %d ms: %s", line, seed+1, end.Stage, end.ChangedMS, end.Reason)
					}
				}
				if want == RolledBack.String() {
					most = max(most, float64(s.exposed)/bound)
					over += number(float64(s.exposed) > bound)
					late += number(s.lateRequests > 0)
				}
				unended += s.running
			}
			key := fmt.Sprintf("want %s, %d routers", want, z.routers)
			if totals[key] == nil {
				totals[key] = &total{}
			}
			totals[key].runs += seeds
			totals[key].wrong += wrong
			t.Logf("%-50s routers=%d wrong=%d/%d over=%d late=%d most=%.2f unended=%d", line, z.routers, wrong, seeds, over, late, most, unended/seeds)
			if late > 0 {
				t.Errorf("%s with %d routers: got requests too long after the 50th bad answer in %d runs, want in none", line, z.routers, late)
			}
			totals[key].over += over
		}
	}
	for key, n := range totals {
		t.Logf("%s: %d wrong and %d over the bound of %d", key, n.wrong, n.over, n.runs)
		if most := n.runs / maxWrongPart; n.wrong > most || n.over > most {
			t.Errorf("%s: got %d wrong and %d over the bound of %d runs, want at most %d of each", key, n.wrong, n.over, n.runs, most)
		}
	}
}

// newRollOut returns a roll-out of a fleet with the words of a script.
func newRollOut(t *testing.T, z size, words string) *rollOut {
	t.Helper()
	s := &rollOut{routers: z.routers, old: z.old, rate: z.rate, duration: 20 * time.Second, stream: 10 * time.Second, version: trouble{factor: 4}}
	for _, word := range strings.Fields(words) {
		if err := s.set(word); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// TestSeeds runs the seeds of testdata/seeds.txt, in which single rules decide. It guards against
// verdicts that rest on a bad hour, or that miss a bad release in one.
func TestSeeds(t *testing.T) {
	eachLine(t, "testdata/seeds.txt", func(given, want string) {
		var routers int
		var seed uint64
		if _, err := fmt.Sscanf(given, "%d %d", &routers, &seed); err != nil {
			t.Fatal(err)
		}
		i := slices.IndexFunc(sizes, func(z size) bool { return z.routers == routers })
		s := newRollOut(t, sizes[i], strings.Join(strings.Fields(given)[2:], " "))
		if end := s.run(seed); end.Stage.String() != want {
			t.Errorf("%s: got %s (%s), want %s", given, end.Stage, end.Reason, want)
		}
	})
}

// maxWrongPart is one in how many runs may end wrongly or exceed the bound on the exposure: some
// releases turn out bad only once most requests have moved.
const maxWrongPart = 50
