package ledger

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// order POOL TARGET DURATION good|bad: an order is written.
func cmdOrder(ts *testscript.TestScript, s *scriptState, args []string) {
	d, err := time.ParseDuration(args[2])
	ts.Check(err)
	s.ledger.BeginRollout(Rollout{Pool: args[0], Target: args[1], Bad: args[3] == "bad", OrderedAt: s.now, Duration: d})
}

// serve COUNT NAME POOL RELEASE good|bad: runners of the release run so many requests, and give
// good or bad answers.
func cmdServe(ts *testscript.TestScript, s *scriptState, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := range count {
		id := args[1] + "-" + strconv.Itoa(i)
		s.ledger.RecordRequest(Request{ID: id, Kind: Safe, Route: "r", Router: "r1", Line: "GET /", Tenant: "t", SentAt: s.now})
		s.ledger.RecordRun(Run{ID: id, Runner: "u", Pool: args[2], Zone: "z", Release: args[3], Line: "GET /", Tenant: "t", At: s.now})
		if args[4] == "bad" {
			s.ledger.RecordBadAnswer(s.now, args[2], args[3])
		}
	}
}
