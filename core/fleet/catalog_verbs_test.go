package fleet_test

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
)

// region DC REGION: sets the region of a data centre.
func cmdRegion(_ *testscript.TestScript, sim *simulation, a []string) {
	sim.regions[core.DataCentre(a[0])] = a[1]
}

// pool NAME [engine=TOKENS] [cold=RATE]: adds a pool to the catalog.
func cmdPool(ts *testscript.TestScript, sim *simulation, a []string) {
	p := catalog.Pool{Name: core.Pool(a[0]), ColdRate: float64(number(ts, a, "cold"))}
	if tokens := number(ts, a, "engine"); tokens > 0 {
		p.Engine = &catalog.Engine{CacheTokens: tokens}
	}
	sim.catalog.Pools[p.Name] = p
}

// route NAME POOL once|safe|stream [attempts=N] [resume] [region=REGION]: adds the
// route of host NAME to the catalog; resume makes it deterministic.
func cmdRoute(ts *testscript.TestScript, sim *simulation, a []string) {
	kind := map[string]catalog.Kind{"once": catalog.AtMostOnce, "safe": catalog.Idempotent, "stream": catalog.Stream}[a[2]]
	_, resume := option(a, "resume")
	var regions []string
	if region, ok := option(a, "region"); ok {
		regions = []string{region}
	}
	sim.catalog.Routes = append(sim.catalog.Routes, catalog.Route{
		Name: a[0], Host: a[0], Prefix: "/", Kind: kind, Timeout: 10 * time.Second, LatencyObjective: 300 * time.Millisecond,
		MaxRuns: number(ts, a, "attempts"), Deterministic: resume, Public: true, Regions: regions,
		Pools: []catalog.PoolWeight{{Pool: core.Pool(a[1]), Weight: 1}},
	})
}

// catalog-size BYTES: sets the size of the text of the next versions of the catalog.
func cmdCatalogSize(ts *testscript.TestScript, sim *simulation, a []string) {
	var err error
	sim.catalogBytes, err = strconv.Atoi(a[0])
	ts.Check(err)
}

// apply-catalog VERSION [ROUTER...]: routers, or all, apply the catalog as a version.
func cmdApplyCatalog(ts *testscript.TestScript, sim *simulation, a []string) {
	version, err := strconv.ParseUint(a[0], 10, 64)
	ts.Check(err)
	sim.catalog.Version = max(version, sim.catalog.Version)
	sim.each(a[1:], func(f *fleet.Fleet) {
		c := sim.catalog
		c.Version, c.Source = version, make([]byte, max(sim.catalogBytes, 1))
		f.ApplyCatalog(sim.now, &c)
	})
	sim.syncMixedPools()
}
