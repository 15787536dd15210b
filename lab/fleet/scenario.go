package main

import "time"

// Scenario is a fleet, its load and the limits that a run must keep. It is the content
// of a scenario file.
type Scenario struct {
	Fleet  FleetSection  `ini:"fleet"`
	Run    RunSection    `ini:"run"`
	Pools  []PoolSection `ini:"pool" validate:"min=1,dive"`
	Loads  []LoadSection `ini:"load" validate:"min=1,dive"`
	Limits LimitsSection `ini:"limits"`
	Losses []LossSection `ini:"loss" validate:"dive"`
	Lags   []LagSection  `ini:"lag" validate:"dive"`
	Cuts   []CutSection  `ini:"cut" validate:"dive"`
	// Changes are those of the configuration.
	Changes []ChangeSection `ini:"change" validate:"dive"`
	Orders  []OrderSection  `ini:"order" validate:"max=1,dive"`
}

// FleetSection describes the routers and the links between them.
type FleetSection struct {
	Routers     int `ini:"routers" validate:"min=1,max=2000"`
	DataCentres int `ini:"datacentres" validate:"min=1,max=50"`
	// Local and Remote are the one-way delays within a data centre and between two.
	Local  time.Duration `ini:"local" validate:"min=0"`
	Remote time.Duration `ini:"remote" validate:"min=0"`
	// Link is what a router's link carries in each direction, in megabits per second; zero
	// means that nothing waits for it.
	Link float64 `ini:"link" validate:"min=0"`
	// LinkDelay and Price are the routers' settings of what the links between data centres cost: the
	// delay, and milliseconds for a kilobyte.
	LinkDelay time.Duration `ini:"linkdelay" validate:"min=0"`
	Price     float64       `ini:"price" validate:"min=0"`
}

// RunSection sets the random seed and the simulated time. Nothing is measured during
// Warmup.
type RunSection struct {
	Seed   uint64        `ini:"seed"`
	Warmup time.Duration `ini:"warmup" validate:"min=0"`
	Time   time.Duration `ini:"time" validate:"gt=0"`
}

// PoolSection describes the upstreams of a pool.
type PoolSection struct {
	Name      string `ini:"-name"`
	Upstreams int    `ini:"upstreams" validate:"min=1"`
	// Slots is how many requests run at a time, Queue how many wait. Further ones are
	// declined.
	Slots int `ini:"slots" validate:"min=1"`
	Queue int `ini:"queue" validate:"min=0"`
	// Cache is the size of an engine's cache in tokens; zero for plain applications.
	Cache int `ini:"cache" validate:"min=0"`
	// Prefill is the number of tokens that an engine reads per millisecond.
	Prefill int `ini:"prefill" validate:"min=0"`
	// Slow is the share of their run time by which requests last longer for each other
	// one that runs beside them.
	Slow float64 `ini:"slow" validate:"min=0"`
	// Tells is true if responses state the load.
	Tells bool `ini:"tells"`
	// Limited is the share of the upstreams that name a limit from LimitFrom on: Limit
	// requests per second from all routers together.
	Limited   float64       `ini:"limited" validate:"min=0,max=1"`
	Limit     float64       `ini:"limit" validate:"min=0"`
	LimitFrom time.Duration `ini:"limitfrom" validate:"min=0"`
	// Uneven is the share of the hosts that are slow at any time, Spell for how long at a time
	// on average, and Slowness how many times longer work then takes. States is true if load
	// reports state that.
	Uneven   float64       `ini:"uneven" validate:"min=0,lt=1"`
	Spell    time.Duration `ini:"spell" validate:"required_with=Uneven"`
	Slowness float64       `ini:"slowness" validate:"required_with=Uneven"`
	States   bool          `ini:"states"`
	// Slowed is by how many times requests last longer at one upstream after the other, each for
	// SlowedFor; zero means at none.
	Slowed    float64       `ini:"slowed" validate:"min=0"`
	SlowedFor time.Duration `ini:"slowedfor" validate:"min=0"`
}

// defaultObjective is the objective of routes that set none.
const defaultObjective = 400 * time.Millisecond

// objective returns the objective of the load's route.
func (l LoadSection) objective() time.Duration {
	if l.Objective == 0 {
		return defaultObjective
	}
	return l.Objective
}

// LoadSection describes requests of one kind.
type LoadSection struct {
	Name string `ini:"-name"`
	Pool string `ini:"pool" validate:"required"`
	Kind string `ini:"kind" validate:"oneof=once safe stream"`
	// Resume is true for streams that another upstream may continue.
	Resume bool `ini:"resume"`
	// Rate is the number of requests per second, which arrive in groups of Clump.
	Rate  float64 `ini:"rate" validate:"gt=0"`
	Clump int     `ini:"clump" validate:"min=0"`
	// Tilt is the share of the requests that arrive in the first data centre, beside its part of
	// the others.
	Tilt float64 `ini:"tilt" validate:"min=0,max=1"`
	// Body is the size of a request in bytes.
	Body int `ini:"body" validate:"min=0"`
	// Time is the mean run time without other requests beside it.
	Time time.Duration `ini:"time" validate:"gt=0"`
	// First is the time until the first event without reading, Objective the route's objective
	// of that time; zero means defaultObjective.
	First     time.Duration `ini:"first" validate:"min=0"`
	Objective time.Duration `ini:"objective" validate:"min=0"`
	// Steady is true if run times differ by a fifth at most; otherwise they are exponential.
	Steady bool `ini:"steady"`
	// Prompts is the number of prompts; each has Tokens tokens that requests share.
	Prompts int `ini:"prompts" validate:"min=0"`
	Tokens  int `ini:"tokens" validate:"min=0"`
	// Hot is the share of requests that use the first prompt, from HotFrom on for
	// HotTime.
	Hot     float64       `ini:"hot" validate:"min=0,max=1"`
	HotFrom time.Duration `ini:"hotfrom" validate:"min=0"`
	HotTime time.Duration `ini:"hottime" validate:"min=0"`
}

// LossSection stops routers for a time.
type LossSection struct {
	Name string `ini:"-name"`
	// At is when they stop, and For how long. They keep nothing.
	At  time.Duration `ini:"at" validate:"min=0"`
	For time.Duration `ini:"for" validate:"gt=0"`
	// DataCentre stops all routers of the one with this number; Share stops a share
	// of all routers.
	DataCentre int     `ini:"datacentre" validate:"min=0"`
	Share      float64 `ini:"share" validate:"min=0,max=1"`
	// Dispatcher is a pool whose dispatcher stops, in place of others.
	Dispatcher string `ini:"dispatcher"`
	// Group is how many of them stop at a time, each Gap; zero means all at once.
	Group int           `ini:"group" validate:"min=0"`
	Gap   time.Duration `ini:"gap" validate:"min=0"`
}

// LagSection lets routers be slow to handle messages from other routers for a time.
type LagSection struct {
	Name string        `ini:"-name"`
	At   time.Duration `ini:"at" validate:"min=0"`
	For  time.Duration `ini:"for" validate:"gt=0"`
	// Time is how much later they handle a message, Share the share of the routers.
	Time  time.Duration `ini:"time" validate:"gt=0"`
	Share float64       `ini:"share" validate:"min=0,max=1"`
	// Dispatcher is a pool whose dispatcher is slow, in place of others.
	Dispatcher string `ini:"dispatcher"`
}

// CutSection loses all messages to and from routers for a time.
type CutSection struct {
	Name string        `ini:"-name"`
	At   time.Duration `ini:"at" validate:"min=0"`
	For  time.Duration `ini:"for" validate:"gt=0"`
	// Share is the share of the routers, which reach each other; Dispatcher is a pool whose
	// dispatcher is cut off, in place of others.
	Share      float64 `ini:"share" validate:"min=0,max=1"`
	Dispatcher string  `ini:"dispatcher"`
}

// ChangeSection changes the configuration Count times, each Gap from At on.
type ChangeSection struct {
	Name  string        `ini:"-name"`
	At    time.Duration `ini:"at" validate:"min=0"`
	Gap   time.Duration `ini:"gap" validate:"min=0"`
	Count int           `ini:"count" validate:"min=1"`
	// Bytes is the size of the configuration.
	Bytes int `ini:"bytes" validate:"min=16"`
	// Cut is the share of the routers that can't reach the store.
	Cut float64 `ini:"cut" validate:"min=0,max=1"`
}

// LimitsSection holds what a run must keep; zero means that nothing is checked.
type LimitsSection struct {
	// Crowded is the largest share of a pool's requests, in any five seconds, that may
	// reach an upstream with more than twice the mean load plus three.
	Crowded float64 `ini:"crowded" validate:"min=0,max=1"`
	// Declined is the largest share of attempts that upstreams may decline, Waiting that
	// of those that may wait at an upstream longer than their mean run time.
	Declined float64 `ini:"declined" validate:"min=0,max=1"`
	Waiting  float64 `ini:"waiting" validate:"min=0,max=1"`
	// Late is the largest share of answers that may begin later than the route's objective, or
	// end later if the upstreams aren't engines.
	Late float64 `ini:"late" validate:"min=0,max=1"`
	// Crossed is the largest share of attempts that may go to other data centres.
	Crossed float64 `ini:"crossed" validate:"min=0,max=1"`
	// Refused is the largest share of requests that routers may refuse.
	Refused float64 `ini:"refused" validate:"min=0,max=1"`
	// Handled is the highest mean number of messages per second that one router may send and
	// receive.
	Handled float64 `ini:"handled" validate:"min=0"`
	// Excess is the highest number of requests that a limited upstream may get in four
	// seconds, as a fraction of what is permitted: one and a half times its limit, and five
	// more. Unused is the largest share of the limits that may stay unused.
	Excess float64 `ini:"excess" validate:"min=0"`
	Unused float64 `ini:"unused" validate:"min=0,max=1"`
	// Sent is the mean number of bytes of control messages that a router may send in a
	// second; Busiest is that of the busiest router, Remote the mean between data
	// centres.
	Sent    float64 `ini:"sent" validate:"min=0"`
	Busiest float64 `ini:"busiest" validate:"min=0"`
	Remote  float64 `ini:"remote" validate:"min=0"`
	// Delay is the longest time that a message between two routers may take, and Applied
	// that from a change of the configuration until all routers apply it.
	Delay   time.Duration `ini:"delay" validate:"min=0"`
	Applied time.Duration `ini:"applied" validate:"min=0"`
	// Exposure is the highest number of attempts at a new release on trial as a fraction of
	// what is permitted, After how long after its 50th bad answer a bad one may get requests, and
	// Left how many requests old upstreams may have when a roll-out is completed.
	Exposure float64       `ini:"exposure" validate:"min=0"`
	After    time.Duration `ini:"after" validate:"min=0"`
	Left     float64       `ini:"left" validate:"min=0"`
	// Told is the mean number of bytes a second that a router may send in messages about a
	// roll-out.
	Told float64 `ini:"told" validate:"min=0"`
	// Reread is the largest share of prompt tokens that engines may read though
	// another engine has them.
	Reread float64 `ini:"reread" validate:"min=0,max=1"`
}
