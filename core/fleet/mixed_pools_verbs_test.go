package fleet_test

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// mixedStore holds the store's records of mixed pools. The zero value is empty.
type mixedStore struct {
	pools map[core.Pool]bool
	// refusing holds the routers whose calls the store refuses.
	refusing map[string]bool
	// reads, writes and removals count the calls that were carried out.
	reads, writes, removals int
}

// mixedPoolCommands are the verbs of this file.
var mixedPoolCommands = map[string]func(*testscript.TestScript, *simulation, []string){
	"mixed-pools": cmdMixedPools, "mixed-calls": cmdMixedCalls, "refuse-mixed": cmdRefuseMixed, "lose-mixed": cmdLoseMixed, "drop-records": cmdDropRecords,
}

// syncMixedPools lets all routers do what they have to do for the records of mixed pools.
func (sim *simulation) syncMixedPools() {
	sim.each(nil, func(f *fleet.Fleet) {
		if id := string(f.Settings().ID); sim.frozen[id] || sim.mixed.refusing[id] {
			return
		}
		for w := f.MixedPoolWork(sim.now); !w.None(); w = f.MixedPoolWork(sim.now) {
			sim.mixed.carryOut(f, w.Read, w.Write, w.Remove)
		}
	})
}

func (s *mixedStore) carryOut(f *fleet.Fleet, read bool, write, remove []core.Pool) {
	if read {
		s.reads++
		f.ApplyMixedPools(slices.Collect(maps.Keys(s.pools)))
	}
	for _, p := range write {
		s.writes++
		if s.pools == nil {
			s.pools = map[core.Pool]bool{}
		}
		s.pools[p] = true
		f.RecordMixedPoolWritten(p)
	}
	for _, p := range remove {
		s.removals++
		delete(s.pools, p)
		f.RecordMixedPoolRemoved(p)
	}
}

// mixed-pools [POOL...]: checks which pools have a record.
func cmdMixedPools(ts *testscript.TestScript, sim *simulation, a []string) {
	if got := slices.Sorted(maps.Keys(sim.mixed.pools)); len(got) != len(a) || (len(a) > 0 && string(got[0]) != a[0]) {
		ts.Fatalf("pools with a record: got %v, want %s", got, strings.Join(a, " "))
	}
}

// mixed-calls READS WRITES REMOVALS: checks how often the routers have called the store.
func cmdMixedCalls(ts *testscript.TestScript, sim *simulation, a []string) {
	for i, got := range []int{sim.mixed.reads, sim.mixed.writes, sim.mixed.removals} {
		if want, err := strconv.Atoi(a[i]); err != nil || got != want {
			ts.Fatalf("calls for mixed pools, number %d of reads, writes, removals: got %d, want %s", i, got, a[i])
		}
	}
}

// refuse-mixed [ROUTER...]: the store refuses the calls of these routers from now on.
func cmdRefuseMixed(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.mixed.refusing = map[string]bool{}
	for _, id := range a {
		sim.mixed.refusing[id] = true
	}
}

// lose-mixed: the store comes back from a copy without the records of mixed pools, and the
// routers notice.
func cmdLoseMixed(_ *testscript.TestScript, sim *simulation, _ []string) {
	clear(sim.mixed.pools)
	sim.each(nil, func(f *fleet.Fleet) { f.RecheckMixedPools() })
	sim.syncMixedPools()
}

// drop-records ROUTER: the store drops records before the router has read them, so that it reads
// all entries.
func cmdDropRecords(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.routers[a[0]].MarkRecordsMissed()
	sim.read(a)
}
