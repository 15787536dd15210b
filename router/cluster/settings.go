// Package cluster assembles and runs the router of a fleet: one that reads its
// configuration, its upstreams and the other routers from a store.
package cluster

import (
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/rollout"
)

// Settings is the content of the router's settings file.
type Settings struct {
	Router      RouterSection `ini:"router"`
	Store       StoreSection  `ini:"store"`
	Bounds      BoundsSection `ini:"bounds"`
	Links       LinksSection  `ini:"links"`
	Limits      LimitsSection `ini:"limits"`
	Log         LogSection    `ini:"log"`
	DataCentres []DataCentre  `ini:"datacentre" validate:"dive"`
}

// RouterSection holds the router's identity and the addresses on which it listens.
type RouterSection struct {
	ID         string `ini:"id" validate:"required"`
	DataCentre string `ini:"datacentre" validate:"required"`
	// Listen is the address for callers, Ready for the load balancer's checks, Peer
	// for other routers, and Metrics for metrics and the operators' status.
	Listen  string `ini:"listen" validate:"required,hostname_port"`
	Ready   string `ini:"ready" validate:"required,hostname_port"`
	Peer    string `ini:"peer" validate:"required,hostname_port"`
	Metrics string `ini:"metrics" validate:"required,hostname_port"`
	// Detour is the address for requests that other routers can't send to upstreams; empty
	// takes none.
	Detour string `ini:"detour" validate:"omitempty,hostname_port"`
	// FirstStart is true if the whole system starts for the first time: all engine
	// caches are empty then, and the router doesn't query them; and no earlier process of
	// it has made retries.
	FirstStart bool `ini:"first"`
}

// StoreSection holds the address of the store.
type StoreSection struct {
	Address string `ini:"address" validate:"required,hostname_port"`
}

// BoundsSection holds the limits that operators set. The unit of each time stands
// in the field's name; its key has none.
type BoundsSection struct {
	// RetryRatio and RetrySlack bound the retries (attempts beyond the first) of all
	// routers within RetryWindowSeconds: RetryRatio per request, plus RetrySlack.
	RetryRatio         float64 `ini:"ratio" validate:"min=0"`
	RetrySlack         float64 `ini:"slack" validate:"min=0"`
	RetryWindowSeconds float64 `ini:"window" validate:"gt=0"`
	// MaxLoadFactor bounds an upstream's load as a multiple of the mean load.
	MaxLoadFactor float64 `ini:"multiple" validate:"min=1"`
	// DrainMS is how long, in milliseconds, a draining upstream may still get work
	// after the drain was announced.
	DrainMS int `ini:"drain" validate:"min=1"`
	// EvacuationMS is how long, in milliseconds, a data centre may still get work
	// after it was taken out of service.
	EvacuationMS int `ini:"evacuate" validate:"min=0"`
	// RecoveryMS is how long, in milliseconds, after the end of a disturbance a router
	// may take to be up to date again; zero stands for defaultRecovery.
	RecoveryMS int `ini:"recover" validate:"min=0"`
	// ExposeShare and ExposeSlack bound the requests that all routers together send to the
	// new version of a roll-out before it has proven good: ExposeShare of those that reach the
	// pool, plus ExposeSlack. A share of zero means that roll-outs are not configured.
	ExposeShare float64 `ini:"share" empty:"zero" validate:"min=0,max=1"`
	ExposeSlack float64 `ini:"allowance" empty:"zero" validate:"min=0"`
	// RevertMS is how long, in milliseconds, requests may still go to a version after it has
	// given as many bad answers as prove it bad.
	RevertMS int `ini:"revert" empty:"zero" validate:"min=0"`
	// GraceSeconds is how long a router may take to shut down.
	GraceSeconds float64 `ini:"grace" validate:"gt=0"`
}

// LinksSection holds what the links between data centres cost. Zero leaves placement as it is.
type LinksSection struct {
	// DelayMS is the delay of the link in one direction, in milliseconds, until one is measured.
	DelayMS float64 `ini:"delay" validate:"min=0"`
	// Price is what a kilobyte costs that crosses, in milliseconds of the caller's objective.
	Price float64 `ini:"price" validate:"min=0"`
}

// defaultRecovery applies to settings without a recovery time.
const defaultRecovery = 3 * time.Second

// recovery returns how long a router may take to be up to date again.
func (b BoundsSection) recovery() time.Duration {
	if b.RecoveryMS == 0 {
		return defaultRecovery
	}
	return time.Duration(b.RecoveryMS) * time.Millisecond
}

// LimitsSection holds the limits of the machine that the router runs on.
type LimitsSection struct {
	// MemoryMB is the memory of the machine in megabytes of 2^20 bytes; zero stands for that of
	// the control group, or else of the machine.
	MemoryMB float64 `ini:"memory" empty:"zero" validate:"min=0"`
	// Descriptors is the number of files and connections that may be open; zero stands for the
	// limit of the process.
	Descriptors int `ini:"descriptors" empty:"zero" validate:"min=0"`
	// Cores is the share of processor cores that the router may use; zero means that it isn't
	// stated.
	Cores float64 `ini:"cores" empty:"zero" validate:"min=0"`
}

// LogSection holds the settings of the log.
type LogSection struct {
	Level string `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

// DataCentre assigns a data centre to its region.
type DataCentre struct {
	Name   string `ini:"-name"`
	Region string `ini:"region" validate:"required"`
}

// capacityPerCore is the capacity of a router that may use a whole core.
const capacityPerCore = 100

// fleetSettings returns the settings of the fleet's tables. Now, as a Unix time in
// milliseconds, becomes the router's incarnation.
func (s Settings) fleetSettings(now time.Time, a Adapter) fleet.Settings {
	return fleet.Settings{
		ID:          core.RouterID(s.Router.ID),
		Address:     s.Router.Peer,
		Detour:      s.Router.Detour,
		Capacity:    int(s.Limits.Cores * capacityPerCore),
		DataCentre:  core.DataCentre(s.Router.DataCentre),
		Incarnation: core.Incarnation(now.UnixMilli()),
		Regions: lo.SliceToMap(s.DataCentres, func(dc DataCentre) (core.DataCentre, string) {
			return core.DataCentre(dc.Name), dc.Region
		}),
		Retry: retry.Limits{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
			Window: time.Duration(s.Bounds.RetryWindowSeconds * float64(time.Second)),
		},
		Restarted:     !s.Router.FirstStart,
		MaxLoadFactor: s.Bounds.MaxLoadFactor,
		Drain:         time.Duration(s.Bounds.DrainMS) * time.Millisecond,
		Evacuation:    time.Duration(s.Bounds.EvacuationMS) * time.Millisecond,
		LimitGrace:    s.Bounds.recovery(),
		Rollout: rollout.Limits{
			Share: s.Bounds.ExposeShare, Slack: s.Bounds.ExposeSlack, Revert: time.Duration(s.Bounds.RevertMS) * time.Millisecond,
		},
		Links:        locality.Link{Delay: time.Duration(s.Links.DelayMS * float64(time.Millisecond)), Price: s.Links.Price},
		ParseCatalog: a.ParseCatalog,
		ParseEntry:   a.ParseEntry,
	}
}
