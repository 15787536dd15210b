package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
)

// simulation runs the decisions of all routers of a fleet in simulated time. Nothing
// but the links and the upstreams is simulated: the tables are those of package fleet.
type simulation struct {
	scenario  Scenario
	random    *rand.Rand
	now       time.Time
	events    queue[func(now time.Time)]
	routers   []*router
	byID      map[core.RouterID]*router
	upstreams map[core.UpstreamID]*upstream
	pools     map[string]*poolState
	catalog   *catalog.Catalog
	// changedAt is when the catalog last changed.
	changedAt time.Time
	figures   figures
	requests  int
	// rollout is that of the scenario; nil if it has none.
	rollout *rolloutRun
}

// router is a simulated router. Epoch changes with each start and stop, so that what
// was scheduled before is dropped.
type router struct {
	fleet      *fleet.Fleet
	member     fleet.Member
	dataCentre int
	stopped    bool
	epoch      int
	sent       int
	// out and in are the directions of its link.
	out, in link
	// lag is how much later it handles messages.
	lag time.Duration
	// storeless is true if it can't reach the store.
	storeless bool
	// cut is the side of a cut that it is on; messages between sides are lost.
	cut bool
	// handled is the number of messages that it has sent and received.
	handled int
	// asking holds by number what to do when a request for a slot is answered. returning and
	// expiring are true while it is to return slots, and to end the waits for those that it grants.
	asking              map[uint64]func(now time.Time, a fleet.SlotAnswer)
	returning, expiring bool
	// waiting holds by upstream what to do when quota is granted or denied.
	waiting map[core.UpstreamID][]func(now time.Time)
}

// poolState is a pool with its upstreams.
type poolState struct {
	PoolSection
	upstreams []*upstream
	window    crowding
}

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newSimulation(s Scenario) *simulation {
	sim := &simulation{
		scenario: s, random: rand.New(rand.NewPCG(s.Run.Seed, 0)), now: start, byID: map[core.RouterID]*router{},
		upstreams: map[core.UpstreamID]*upstream{}, pools: map[string]*poolState{},
	}
	sim.catalog = sim.newCatalog()
	sim.scheduleOrder()
	for i := range s.Fleet.Routers {
		r := &router{dataCentre: i % s.Fleet.DataCentres}
		r.member = fleet.Member{ID: core.RouterID(fmt.Sprintf("router-%d", i)), Address: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250), DataCentre: dataCentre(r.dataCentre), Incarnation: 1}
		sim.routers = append(sim.routers, r)
		sim.byID[r.member.ID] = r
	}
	for _, r := range sim.routers {
		sim.startRouter(r)
	}
	for i := range s.Loads {
		sim.scheduleArrivals(&s.Loads[i])
	}
	for _, l := range s.Losses {
		sim.scheduleLoss(l)
	}
	for _, c := range s.Cuts {
		sim.scheduleCut(c)
	}
	for _, l := range s.Lags {
		sim.scheduleLag(l)
	}
	for _, c := range s.Changes {
		sim.scheduleChanges(c)
	}
	return sim
}

func dataCentre(i int) core.DataCentre { return core.DataCentre("dc-" + strconv.Itoa(i)) }

// newCatalog returns the catalog of the scenario, and creates the upstreams.
func (sim *simulation) newCatalog() *catalog.Catalog {
	c := &catalog.Catalog{Version: 1, Source: catalogText(1, versionBytes), Pools: map[core.Pool]catalog.Pool{}}
	for _, p := range sim.scenario.Pools {
		pool := catalog.Pool{Name: core.Pool(p.Name)}
		if p.Cache > 0 {
			pool.Engine = &catalog.Engine{CacheTokens: p.Cache}
		}
		c.Pools[pool.Name] = pool
		state := &poolState{PoolSection: p}
		sim.pools[p.Name] = state
		for i := range p.Upstreams {
			id := core.UpstreamID(fmt.Sprintf("i-%s%03d", p.Name, i))
			u := &upstream{pool: &state.PoolSection, cache: map[core.Digest]bool{}, entry: roster.Entry{
				ID: id, Pool: pool.Name, Address: string(id) + ":8000", DataCentre: dataCentre(i % sim.scenario.Fleet.DataCentres), Slots: p.Slots, StartedMS: 1,
			}}
			u.entry.Source = []byte(id)
			u.spells = p.spells(sim.random, start.Add(sim.scenario.Run.Warmup+sim.scenario.Run.Time))
			if float64(i) < p.Limited*float64(p.Upstreams) {
				u.limit = &limit{perSecond: p.Limit}
			}
			sim.upstreams[id], state.upstreams = u, append(state.upstreams, u)
		}
	}
	kinds := map[string]catalog.Kind{"once": catalog.AtMostOnce, "safe": catalog.Idempotent, "stream": catalog.Stream}
	for _, l := range sim.scenario.Loads {
		c.Routes = append(c.Routes, catalog.Route{
			Name: l.Name, Host: l.Name, Prefix: "/", Kind: kinds[l.Kind], Timeout: 10 * time.Second, LatencyObjective: l.objective(),
			MaxRuns: 2, Deterministic: l.Resume, Public: true, Pools: []catalog.PoolWeight{{Pool: core.Pool(l.Pool), Weight: 1}},
		})
	}
	return c
}

// startRouter starts a router, which reads the store, and schedules its messages.
func (sim *simulation) startRouter(r *router) {
	r.epoch++
	r.stopped = false
	r.waiting = map[core.UpstreamID][]func(time.Time){}
	r.asking, r.returning, r.expiring = map[uint64]func(time.Time, fleet.SlotAnswer){}, false, false
	r.member.Incarnation = core.Incarnation(sim.now.UnixMilli())
	r.fleet = fleet.New(sim.now, fleet.Settings{
		ID: r.member.ID, Address: r.member.Address, DataCentre: r.member.DataCentre, Incarnation: r.member.Incarnation,
		Retry: retry.Limits{Ratio: 0.2, Slack: 600, Window: 10 * time.Second}, Restarted: r.epoch > 1, MaxLoadFactor: 2, Drain: 4 * time.Second, Evacuation: 5 * time.Second, LimitGrace: limitGrace,
		Rollout:      sim.rolloutLimits(),
		Links:        locality.Link{Delay: sim.scenario.Fleet.LinkDelay, Price: sim.scenario.Fleet.Price},
		ParseCatalog: sim.parseCatalog,
		ParseEntry: func(id core.UpstreamID, _ []byte) (roster.Entry, error) {
			return sim.upstreams[id].entry, nil
		},
	})
	for _, other := range sim.routers {
		r.fleet.AddMember(sim.now, other.member)
	}
	r.fleet.MarkMembersListed()
	sim.startRollouts(r)
	r.fleet.ApplyCatalog(sim.now, sim.catalog)
	sim.readEntries(r)
	epoch := r.epoch
	var send func(time.Time)
	send = func(now time.Time) {
		if r.epoch != epoch {
			return
		}
		messages, wait := r.fleet.Outgoing(now)
		for _, e := range messages {
			sim.post(r, e.To, e.Message)
		}
		sim.events.add(now.Add(wait), send)
	}
	sim.after(time.Duration(sim.random.Int64N(int64(time.Second))), send)
	sim.scheduleReads(r)
}

// readEntries lets a router read all entries in the store.
func (sim *simulation) readEntries(r *router) {
	entries := make([]roster.Entry, 0, len(sim.upstreams))
	for _, p := range sim.scenario.Pools {
		for _, u := range sim.pools[p.Name].upstreams {
			entries = append(entries, u.entry)
		}
	}
	r.fleet.ApplyFullRead(sim.now, sim.now, 0, 0, entries)
}

// readCheckInterval is how often a router checks whether it is to read the store.
const readCheckInterval = 250 * time.Millisecond

// scheduleReads lets a router read the store when that is due. The upstreams never
// change, so that the segments hold nothing but their offsets.
func (sim *simulation) scheduleReads(r *router) {
	epoch := r.epoch
	var check func(time.Time)
	check = func(now time.Time) {
		if r.epoch != epoch {
			return
		}
		if r.fleet.NextReadIn(now, false) <= 0 {
			sim.figures.reads++
			_, segment := r.fleet.ApplyRead(now, now, fleet.FeedSegment{})
			if segment != nil {
				for _, e := range r.fleet.Spread(now, fleet.Message{Segment: segment}) {
					sim.post(r, e.To, e.Message)
				}
			}
		}
		sim.events.add(now.Add(readCheckInterval), check)
	}
	sim.after(time.Duration(sim.random.Int64N(int64(time.Second))), check)
}

// after schedules an event.
func (sim *simulation) after(d time.Duration, event func(now time.Time)) {
	sim.events.add(sim.now.Add(d), event)
}

// measuring reports whether the warm-up is over.
func (sim *simulation) measuring() bool { return sim.now.Sub(start) >= sim.scenario.Run.Warmup }

// run simulates the whole time of the scenario and returns the figures.
func (sim *simulation) run() report {
	end := start.Add(sim.scenario.Run.Warmup + sim.scenario.Run.Time)
	for {
		at, event, ok := sim.events.take()
		if !ok || at.After(end) {
			break
		}
		sim.now = at
		event(at)
	}
	return sim.report()
}
