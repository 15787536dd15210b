package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// figures are what a simulation counts after its warm-up.
type figures struct {
	attempts, declined, waited, refused, reads int
	// answers counts the answers, late those after the objective, messages the control
	// messages, paces those of them about hosts.
	answers, late, messages, paces int
	// crossed counts the attempts in other data centres.
	crossed int
	// silent counts the requests for quota or for slots that got no response.
	silent int
	// sentBack counts the callers that were refused and returned.
	sentBack                                  int
	remoteBytes                               int
	promptTokens, rereadTokens, fetchedTokens int
	// bytes holds the bytes of messages by kind, delay the longest time that a message took,
	// applied that until a router had applied a change of the configuration.
	bytes          map[string]int
	delay, applied time.Duration
	// underestimated holds by how many requests each chosen upstream's load exceeded what
	// the router believed.
	underestimated []int
}

// countMessage counts a message of a kind.
func (f *figures) countMessage(kind string, bytes int, local bool) {
	if f.bytes == nil {
		f.bytes = map[string]int{}
	}
	f.bytes[kind] += bytes
	f.messages++
	if kind == "host_paces" {
		f.paces++
	}
	if !local {
		f.remoteBytes += bytes
	}
}

// underestimate returns the number of requests by which the loads that routers believed
// were too low in one choice of a hundred or more.
func (f *figures) underestimate() int {
	if len(f.underestimated) == 0 {
		return 0
	}
	slices.Sort(f.underestimated)
	return f.underestimated[len(f.underestimated)*99/100]
}

// largestKind returns the kind of messages with the most bytes, and its share of all bytes.
func (f *figures) largestKind() (string, float64) {
	largest, total := "", 0
	for kind, n := range f.bytes {
		total += n
		if n > f.bytes[largest] || (n == f.bytes[largest] && kind < largest) {
			largest = kind
		}
	}
	return largest, ratio(f.bytes[largest], total)
}

// report holds the results of a simulation. Rates are per second.
type report struct {
	Routers                   int
	Attempts                  int
	Declined, Waiting, Reread float64
	// Late is the share of answers that came after the objective. Messages is the number of
	// control messages per second that a router sent, Paces that of those about hosts, and
	// PaceBytes their bytes.
	Late, Messages, Paces, PaceBytes float64
	// Crossed is the share of attempts that went to other data centres.
	Crossed float64
	// Crowded is the highest share of requests, by pool, that reached an upstream
	// above the bound within five seconds.
	Crowded map[string]float64
	// Sent and Busiest are the mean and the highest bytes per second that a router
	// sent, Remote the mean between data centres.
	Sent, Busiest, Remote float64
	Fetched, Refused      float64
	// SentBack is the share of requests whose callers were refused and returned, Silent the number
	// of questions without an answer.
	SentBack float64
	Silent   int
	// Handled is the number of messages per second that the busiest router sent and received.
	Handled float64
	// Excess is the highest number of requests that a limited upstream got within four
	// seconds, as a fraction of what is permitted; Used is what all of them got, as a
	// fraction of their limits.
	Excess, Used float64
	// Reads is the number of reads of the store per second by all routers.
	Reads float64
	// Delay is the longest time that a message took, Applied that until a router had applied
	// a change of the configuration.
	Delay, Applied time.Duration
	// Underestimate is by how many requests the load that a router believed was too low in
	// one choice of a hundred or more. Kind is the kind of messages with the most bytes, and
	// KindShare its share of all.
	Underestimate int
	Kind          string
	KindShare     float64
	// Rollout is the result of the scenario's roll-out, Want the state that it must have; empty
	// if there is none.
	Rollout rolloutResult
	Want    string
}

// report returns the results so far.
func (sim *simulation) report() report {
	seconds := sim.scenario.Run.Time.Seconds()
	n := float64(len(sim.routers))
	r := report{Routers: len(sim.routers), Attempts: sim.figures.attempts, Crowded: map[string]float64{}}
	for name, p := range sim.pools {
		r.Crowded[name] = p.window.highest
	}
	var sent []float64
	for _, router := range sim.routers {
		sent = append(sent, float64(router.sent)/seconds)
		r.Sent += float64(router.sent) / seconds / n
		r.Handled = max(r.Handled, float64(router.handled)/seconds)
	}
	r.Busiest = slices.Max(sent)
	r.Remote = float64(sim.figures.remoteBytes) / seconds / n
	r.Declined = ratio(sim.figures.declined, sim.figures.attempts)
	r.Waiting = ratio(sim.figures.waited, sim.figures.attempts)
	r.Late = ratio(sim.figures.late, sim.figures.answers)
	r.Messages, r.Paces = float64(sim.figures.messages)/seconds/n, float64(sim.figures.paces)/seconds/n
	r.Crossed = ratio(sim.figures.crossed, sim.figures.attempts)
	r.PaceBytes = float64(sim.figures.bytes["host_paces"]) / seconds / n
	r.Reread = ratio(sim.figures.rereadTokens, sim.figures.promptTokens)
	r.Fetched = ratio(sim.figures.fetchedTokens, sim.figures.promptTokens)
	r.Refused = ratio(sim.figures.refused, sim.requests)
	r.SentBack, r.Silent = ratio(sim.figures.sentBack, sim.figures.answers), sim.figures.silent
	r.Excess, r.Used = sim.limitFigures()
	r.Reads = float64(sim.figures.reads) / (seconds + sim.scenario.Run.Warmup.Seconds())
	r.Delay, r.Applied = sim.figures.delay, sim.figures.applied
	r.Underestimate = sim.figures.underestimate()
	r.Kind, r.KindShare = sim.figures.largestKind()
	if sim.rollout != nil {
		r.Rollout, r.Want = sim.rollout.result, sim.rollout.Want
		r.Rollout.Told = float64(sim.figures.bytes["rollout_state"]+sim.figures.bytes["rollout_samples"]) / seconds / n
	}
	return r
}

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

// String returns the report as one line of key=value pairs.
func (r report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "routers=%d attempts=%d declined=%.4f waiting=%.4f refused=%.4f", r.Routers, r.Attempts, r.Declined, r.Waiting, r.Refused)
	names := make([]string, 0, len(r.Crowded))
	for name := range r.Crowded {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " crowded_%s=%.4f", name, r.Crowded[name])
	}
	fmt.Fprintf(&b, " sentback=%.4f silent=%d handled=%.0f", r.SentBack, r.Silent, r.Handled)
	if r.Excess > 0 {
		fmt.Fprintf(&b, " excess=%.3f used=%.3f", r.Excess, r.Used)
	}
	fmt.Fprintf(&b, " late=%.4f crossed=%.4f messages=%.1f paces=%.1f/%.0f", r.Late, r.Crossed, r.Messages, r.Paces, r.PaceBytes)
	fmt.Fprintf(&b, " underestimate=%d delay=%s applied=%s kind=%s/%.2f", r.Underestimate, r.Delay.Round(time.Millisecond), r.Applied.Round(time.Millisecond), r.Kind, r.KindShare)
	fmt.Fprintf(&b, " reread=%.4f fetched=%.4f sent=%.0f busiest=%.0f remote=%.0f reads=%.2f",
		r.Reread, r.Fetched, r.Sent, r.Busiest, r.Remote, r.Reads)
	if r.Want != "" {
		b.WriteString(r.Rollout.String())
	}
	return b.String()
}

// exceeded returns the limits of a scenario that the results exceed.
func (r report) exceeded(l LimitsSection) []string {
	crowded := 0.0
	for _, share := range r.Crowded {
		crowded = max(crowded, share)
	}
	checks := []struct {
		name       string
		got, limit float64
	}{
		{"crowded", crowded, l.Crowded}, {"declined", r.Declined, l.Declined}, {"waiting", r.Waiting, l.Waiting}, {"late", r.Late, l.Late}, {"crossed", r.Crossed, l.Crossed}, {"refused", r.Refused, l.Refused}, {"reread", r.Reread, l.Reread},
		{"handled", r.Handled, l.Handled},
		{"sent", r.Sent, l.Sent}, {"busiest", r.Busiest, l.Busiest}, {"remote", r.Remote, l.Remote},
		{"excess", r.Excess, l.Excess}, {"unused", 1 - r.Used, l.Unused},
		{"exposure", r.Rollout.Exposure, l.Exposure}, {"after", r.Rollout.Late.Seconds(), l.After.Seconds()}, {"left", float64(r.Rollout.Left), l.Left}, {"told", r.Rollout.Told, l.Told},
		{"delay", r.Delay.Seconds(), l.Delay.Seconds()}, {"applied", r.Applied.Seconds(), l.Applied.Seconds()},
	}
	var over []string
	if r.Rollout.State != r.Want {
		over = append(over, fmt.Sprintf("roll-out: got state %q at the deadline, want %q", r.Rollout.State, r.Want))
	}
	for _, c := range checks {
		if c.limit > 0 && c.got > c.limit {
			over = append(over, fmt.Sprintf("%s: got %.4g, want at most %.4g", c.name, c.got, c.limit))
		}
	}
	return over
}

// crowdingWindow is the span in which requests at crowded upstreams are counted.
const crowdingWindow = 5 * time.Second

const (
	// crowdedFactor and crowdedSlack define when an upstream is crowded: it has more
	// than the factor times the mean load of its pool, plus the slack in requests.
	crowdedFactor = 2.0
	crowdedSlack  = 3.0
	// minCrowded is the number of requests from which on a share counts.
	minCrowded = 20
)

// crowded reports whether an upstream is crowded with one more request.
func (p *poolState) crowded(u *upstream) bool {
	total := 0
	for _, other := range p.upstreams {
		total += other.busy()
	}
	mean := float64(total+1) / float64(len(p.upstreams))
	return float64(u.busy()+1) > crowdedFactor*mean+crowdedSlack
}

// crowding tracks the share of requests at crowded upstreams within a sliding window.
type crowding struct {
	arrivals []arrival
	crowded  int
	highest  float64
}

type arrival struct {
	at      time.Time
	crowded bool
}

// add counts a request.
func (c *crowding) add(now time.Time, crowded bool) {
	c.arrivals = append(c.arrivals, arrival{now, crowded})
	if crowded {
		c.crowded++
	}
	for now.Sub(c.arrivals[0].at) > crowdingWindow {
		if c.arrivals[0].crowded {
			c.crowded--
		}
		c.arrivals = c.arrivals[1:]
	}
	if c.crowded >= minCrowded {
		c.highest = max(c.highest, float64(c.crowded)/float64(len(c.arrivals)))
	}
}
