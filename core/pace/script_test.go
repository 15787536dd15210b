package pace

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"camphorpulley.org/core"
)

// script is what the lines of a script act on.
type script struct {
	t      *testing.T
	where  string
	record Record
	runs   Runs
	base   Base
}

// TestScripts runs the scripts in testdata. A line is a time since the start, a verb and its
// arguments. What follows "->" is what the verb has to return.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata: got %d scripts and error %v, want at least one and no error", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t}
			for i, line := range strings.Split(string(text), "\n") {
				s.where = fmt.Sprintf("line %d", i+1)
				if fields := strings.Fields(line); len(fields) > 0 && fields[0] != "#" {
					s.step(fields)
				}
			}
		})
	}
}

func (s *script) step(fields []string) {
	now := time.Unix(100, 0).Add(s.duration(fields[0]))
	var args, want []string
	for i, f := range fields {
		if f == "->" {
			args, want = fields[2:i], fields[i+1:]
		}
	}
	if want == nil {
		args = fields[2:]
	}
	var got string
	switch verb := fields[1]; verb {
	case "observe":
		got = strconv.FormatBool(s.record.Observe(now, s.number(args[0])))
	case "learn":
		s.record.Learn(now.Add(-s.duration(args[1])), s.number(args[0]))
		return
	case "factor":
		got = fmt.Sprintf("%.2f", s.record.Factor(now))
	case "own":
		got = strconv.FormatBool(s.record.Own)
	case "run":
		got = strconv.Itoa(s.runs.Record(now, core.UpstreamID(args[0]), s.duration(args[1])))
	case "answer":
		s.base.Record(s.duration(args[0]), s.number(args[1]), Work{Read: s.number(args[2]), Fetch: s.number(args[3])})
		got = s.base.Mean.String()
	case "expected":
		factor, err := strconv.ParseFloat(args[0], 64)
		if err != nil {
			s.t.Fatalf("%s: %v", s.where, err)
		}
		got = Work{Base: s.duration(args[1]), Read: s.number(args[2]), Fetch: s.number(args[3]), Distance: s.duration(args[4])}.Expected(factor).String()
	case "endangers":
		got = strconv.FormatBool(Endangers(s.duration(args[0]), s.duration(args[1])))
	case "worthwhile":
		got = strconv.FormatBool(Worthwhile(s.duration(args[0]), s.duration(args[1])))
	default:
		s.t.Fatalf("%s: got verb %s, want a known one", s.where, verb)
	}
	if len(want) > 0 && got != want[0] {
		s.t.Errorf("%s: got %s, want %s", s.where, got, want[0])
	}
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.where, err)
	}
	return d
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.where, err)
	}
	return n
}
