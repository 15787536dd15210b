package cluster

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/roster"
)

// statusStore is a store of statuses in memory, whose faults a script sets.
type statusStore struct {
	records []fleet.RolloutStatus
	era     uint64
	// mode is how appends go: up, down, lost (they are carried out without an answer), late
	// (they get no answer and are carried out later) or overtaken (another router writes
	// overtaking before).
	mode       string
	overtaking fleet.RolloutStatus
	// late are the appends that are yet to be carried out, by the offset of each.
	late map[uint64]fleet.RolloutStatus
	// calls counts the calls of any kind.
	calls int
}

var errNoAnswer = errors.New("no answer")

func (s *statusStore) Statuses(context.Context) (StatusPage, error) {
	s.calls++
	if s.mode == "down" {
		return StatusPage{}, errNoAnswer
	}
	page := StatusPage{End: uint64(len(s.records)), Era: s.era}
	newest := map[core.Pool]fleet.RolloutStatus{}
	for _, r := range s.records {
		newest[r.Pool] = r
	}
	for _, r := range newest {
		page.Statuses = append(page.Statuses, r)
	}
	return page, nil
}

func (s *statusStore) AppendStatus(_ context.Context, r fleet.RolloutStatus, at uint64) error {
	s.calls++
	switch s.mode {
	case "down":
		return errNoAnswer
	case "late":
		s.late[at] = r
		return errNoAnswer
	case "overtaken":
		s.mode = "up"
		s.records = append(s.records, s.overtaking)
	}
	if at != uint64(len(s.records)) {
		return &ConflictError{At: at, End: uint64(len(s.records))}
	}
	s.records = append(s.records, r)
	if s.mode == "lost" {
		return errNoAnswer
	}
	return nil
}

// writing is the state of one script.
type writing struct {
	store  *statusStore
	writer *rolloutWriter
	orders uint64
}

type writingKey struct{}

// TestStatusWriter runs the scripts in testdata/rollout, in which one router, the conductor of
// the roll-outs of pool p, writes their statuses. The pool has the release v1. Each script
// guards against a status that is wrong, missing or written twice.
func TestStatusWriter(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/rollout",
		Setup: func(env *testscript.Env) error {
			now := time.Now()
			f := fleet.New(now, fleet.Settings{ID: "r1", Rollout: rollout.Limits{Share: 0.1, Slack: 50, Revert: 5 * time.Second}})
			f.ApplyFullRead(now, now, 1, 1, []roster.Entry{{ID: "u1", Pool: "p", Address: "10.0.0.1:80", DataCentre: "a", Release: "v1", StartedMS: 1}})
			f.MarkMembersListed()
			store := &statusStore{mode: "up", era: 1, late: map[uint64]fleet.RolloutStatus{}}
			env.Values[writingKey{}] = &writing{store: store, writer: &rolloutWriter{store: store, fleet: f, log: zap.NewNop()}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"order": verb((*writing).order), "store": verb((*writing).setMode), "other": verb((*writing).other), "step": verb((*writing).step),
			"land": verb((*writing).land), "restore": verb((*writing).restore), "records": verb((*writing).checkRecords),
			"calls": verb((*writing).checkCalls), "stage": verb((*writing).checkStage),
		},
	})
}

func verb(run func(*writing, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		w, ok := ts.Value(writingKey{}).(*writing)
		if !ok {
			ts.Fatalf("no store")
		}
		run(w, ts, args)
	}
}

// order TARGET [REASON]: an operator writes an order, which is invalid for the reason.
func (w *writing) order(_ *testscript.TestScript, a []string) {
	o := rollout.Order{Pool: "p", Target: a[0], Duration: time.Minute, Offset: w.orders, Era: w.store.era}
	if len(a) > 1 {
		o.Invalid = a[1]
	}
	w.orders++
	w.writer.fleet.ApplyOrder(time.Now(), o, true)
	w.writer.fleet.TickRollouts(time.Now())
}

// store up|down|lost|late|overtaken STATUS...: sets how appends go.
func (w *writing) setMode(ts *testscript.TestScript, a []string) {
	w.store.mode = a[0]
	if a[0] == "overtaken" {
		w.store.overtaking = parsedStatus(ts, a[1:])
	}
}

// other STAGE TARGET ORDER [ERA]: another router has written a status, in the era of the store if
// none is named.
func (w *writing) other(ts *testscript.TestScript, a []string) {
	s := parsedStatus(ts, a)
	if s.Era = w.store.era; len(a) > 3 {
		var err error
		s.Era, err = strconv.ParseUint(a[3], 10, 64)
		ts.Check(err)
	}
	w.store.records = append(w.store.records, s)
}

func parsedStatus(ts *testscript.TestScript, a []string) fleet.RolloutStatus {
	stages := map[string]rollout.Stage{"running": rollout.Trying, "completed": rollout.Completed, "rolled_back": rollout.RolledBack}
	offset, err := strconv.ParseUint(a[2], 10, 64)
	ts.Check(err)
	return fleet.RolloutStatus{Pool: "p", Stage: stages[a[0]], Target: a[1], Offset: offset}
}

// step [COUNT]: the writer makes steps.
func (w *writing) step(ts *testscript.TestScript, a []string) {
	count := 1
	if len(a) > 0 {
		var err error
		count, err = strconv.Atoi(a[0])
		ts.Check(err)
	}
	for range count {
		w.writer.fleet.TickRollouts(time.Now())
		w.writer.step(context.Background())
	}
}

// land: appends that got no answer are carried out, where the records still end at their offset.
func (w *writing) land(_ *testscript.TestScript, _ []string) {
	for at, r := range w.store.late {
		if at == uint64(len(w.store.records)) {
			w.store.records = append(w.store.records, r)
		}
	}
	clear(w.store.late)
}

// restore: the store comes back from a copy without statuses, and the router notices.
func (w *writing) restore(_ *testscript.TestScript, _ []string) {
	w.store.era++
	w.store.records = nil
	w.writer.fleet.RecheckStatuses(time.Now())
}

// records [STAGE/TARGET/ORDER...]: checks all statuses that were written.
func (w *writing) checkRecords(ts *testscript.TestScript, a []string) {
	var got []string
	for _, r := range w.store.records {
		stage := "running"
		if r.Stage.Final() {
			stage = r.Stage.String()
		}
		got = append(got, stage+"/"+r.Target+"/"+strconv.FormatUint(r.Offset, 10))
	}
	if want := strings.Join(a, " "); strings.Join(got, " ") != want {
		ts.Fatalf("statuses: got %v, want %s", got, want)
	}
}

// calls MOST: checks how often the store was called since the last check.
func (w *writing) checkCalls(ts *testscript.TestScript, a []string) {
	if most, err := strconv.Atoi(a[0]); err != nil || w.store.calls > most {
		ts.Fatalf("calls of the store: got %d, want at most %s", w.store.calls, a[0])
	}
	w.store.calls = 0
}

// stage STAGE written|unwritten: checks what the router knows.
func (w *writing) checkStage(ts *testscript.TestScript, a []string) {
	for _, v := range w.writer.fleet.Rollouts(time.Now()) {
		if v.Stage != a[0] || v.Written != (a[1] == "written") {
			ts.Fatalf("roll-out: got stage %s, written %t, want %v", v.Stage, v.Written, a)
		}
	}
}
