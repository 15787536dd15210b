package cluster

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/roster"
)

// mixedRecord is a record in mixedStore; removed records remove their pool.
type mixedRecord struct {
	pool    core.Pool
	removed bool
}

// mixedStore is a store of mixed pools in memory, whose faults a script sets.
type mixedStore struct {
	records []mixedRecord
	// mode is how calls go: up, down, lost (appends are carried out without an answer), late (they
	// get no answer and are carried out later) or overtaken (another router writes q before).
	mode string
	// late are the appends that are yet to be carried out, by the offset that they require.
	late  map[uint64]mixedRecord
	calls int
}

func (s *mixedStore) MixedPools(context.Context) (MixedPoolPage, error) {
	s.calls++
	if s.mode == "down" {
		return MixedPoolPage{}, errNoAnswer
	}
	return MixedPoolPage{Pools: s.pools(), End: uint64(len(s.records))}, nil
}

func (s *mixedStore) pools() []core.Pool {
	listed := map[core.Pool]bool{}
	for _, r := range s.records {
		if listed[r.pool] = true; r.removed {
			delete(listed, r.pool)
		}
	}
	return slices.Sorted(maps.Keys(listed))
}

func (s *mixedStore) WriteMixedPool(_ context.Context, p core.Pool, _ core.RouterID) error {
	return s.append(mixedRecord{pool: p}, uint64(len(s.records)))
}

func (s *mixedStore) RemoveMixedPool(_ context.Context, p core.Pool, at uint64) error {
	if s.mode == "overtaken" {
		s.mode = "up"
		s.records = append(s.records, mixedRecord{pool: "q"})
	}
	return s.append(mixedRecord{pool: p, removed: true}, at)
}

func (s *mixedStore) append(r mixedRecord, at uint64) error {
	s.calls++
	switch s.mode {
	case "down":
		return errNoAnswer
	case "late":
		s.late[at] = r
		return errNoAnswer
	}
	if end := uint64(len(s.records)); at != end {
		return &ConflictError{At: at, End: end}
	}
	s.records = append(s.records, r)
	if s.mode == "lost" {
		return errNoAnswer
	}
	return nil
}

// mixing is the state of one script.
type mixing struct {
	store  *mixedStore
	writer *mixedPoolWriter
}

type mixingKey struct{}

// TestMixedPoolWriter runs the scripts in testdata/mixed, in which the only router has followed
// the upstreams of pool p for two minutes. Each script guards against records that are missing,
// so that streams go on at another release after a restart (ORDER), or that stay for ever.
func TestMixedPoolWriter(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/mixed",
		Setup: func(env *testscript.Env) error {
			f := fleet.New(time.Now().Add(-2*time.Minute), fleet.Settings{ID: "r1"})
			f.ApplyCatalog(time.Now(), &catalog.Catalog{
				Version: 1, Pools: map[core.Pool]catalog.Pool{"p": {}},
				Routes: []catalog.Route{{Name: "s", Kind: catalog.Stream, Deterministic: true, Timeout: 12 * time.Second, Pools: []catalog.PoolWeight{{Pool: "p", Weight: 1}}}},
			})
			store := &mixedStore{mode: "up", late: map[uint64]mixedRecord{}}
			env.Values[mixingKey{}] = &mixing{store: store, writer: &mixedPoolWriter{store: store, fleet: f, log: zap.NewNop(), feedRead: newSignal()}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"releases": mixedVerb((*mixing).setReleases), "store": mixedVerb((*mixing).setMode), "other": mixedVerb((*mixing).other),
			"step": mixedVerb((*mixing).step), "land": mixedVerb((*mixing).land), "listed": mixedVerb((*mixing).checkListed),
			"calls": mixedVerb((*mixing).checkCalls),
		},
	})
}

func mixedVerb(run func(*mixing, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		m, ok := ts.Value(mixingKey{}).(*mixing)
		if !ok {
			ts.Fatalf("no store")
		}
		run(m, ts, args)
	}
}

// releases RELEASE...: the router reads all entries, one upstream of each release.
func (m *mixing) setReleases(_ *testscript.TestScript, a []string) {
	var entries []roster.Entry
	for _, release := range a {
		entries = append(entries, roster.Entry{ID: core.UpstreamID("u-" + release), Pool: "p", DataCentre: "a", Release: release, StartedMS: 1})
	}
	m.writer.fleet.ApplyFullRead(time.Now(), time.Now().Add(-2*time.Minute), 1, 1, entries)
}

// store up|down|lost|late|overtaken: sets how calls go.
func (m *mixing) setMode(_ *testscript.TestScript, a []string) { m.store.mode = a[0] }

// other POOL: another router has written the record of a pool.
func (m *mixing) other(_ *testscript.TestScript, a []string) {
	m.store.records = append(m.store.records, mixedRecord{pool: core.Pool(a[0])})
}

// step: the writer makes a step.
func (m *mixing) step(*testscript.TestScript, []string) { m.writer.step(context.Background()) }

// land: appends that got no answer are carried out, where the records still end at their offset.
func (m *mixing) land(*testscript.TestScript, []string) {
	for at, r := range m.store.late {
		if at == uint64(len(m.store.records)) {
			m.store.records = append(m.store.records, r)
		}
	}
	clear(m.store.late)
}

// listed [POOL...]: checks which pools have a record.
func (m *mixing) checkListed(ts *testscript.TestScript, a []string) {
	var got []string
	for _, p := range m.store.pools() {
		got = append(got, string(p))
	}
	if want := strings.Join(a, " "); strings.Join(got, " ") != want {
		ts.Fatalf("pools with a record: got %v, want %s", got, want)
	}
}

// calls COUNT: checks how often the store was called since the last check.
func (m *mixing) checkCalls(ts *testscript.TestScript, a []string) {
	if want, err := strconv.Atoi(a[0]); err != nil || m.store.calls != want {
		ts.Fatalf("calls of the store: got %d, want %s", m.store.calls, a[0])
	}
	m.store.calls = 0
}
