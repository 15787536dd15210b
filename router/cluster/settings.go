// Package cluster puts the router of a fleet together and runs it: one whose
// configuration and upstreams come from a store.
package cluster

import (
	"time"

	"github.com/samber/lo"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/retry"
)

// File is a settings file.
type File struct {
	Router  RouterSection `ini:"router"`
	Store   StoreSection  `ini:"store"`
	Bounds  BoundsSection `ini:"bounds"`
	Log     LogSection    `ini:"log"`
	Centres []Centre      `ini:"datacentre" validate:"dive"`
}

// RouterSection says who the router is and where it listens.
type RouterSection struct {
	ID         string `ini:"id" validate:"required"`
	DataCentre string `ini:"datacentre" validate:"required"`
	Listen     string `ini:"listen" validate:"required,hostname_port"`
	Ready      string `ini:"ready" validate:"required,hostname_port"`
	Peer       string `ini:"peer" validate:"required,hostname_port"`
	Metrics    string `ini:"metrics" validate:"required,hostname_port"`
	// First is set if the whole system starts for the first time, so that no
	// engine can have anything in its cache.
	First bool `ini:"first"`
}

// StoreSection says where the store is.
type StoreSection struct {
	Address string `ini:"address" validate:"required,hostname_port"`
}

// BoundsSection holds what the operators promise. Times are in the unit that
// the name of the field's type says in the operators' page.
type BoundsSection struct {
	// Ratio and Slack bound the attempts beyond the first within Window seconds.
	Ratio  float64 `ini:"ratio" validate:"min=0"`
	Slack  float64 `ini:"slack" validate:"min=0"`
	Window float64 `ini:"window" validate:"gt=0"`
	// Multiple is how many times the mean load an upstream may carry.
	Multiple float64 `ini:"multiple" validate:"min=1"`
	// Drain is how many milliseconds after it was told a leaving upstream may
	// still get work.
	Drain int `ini:"drain" validate:"min=1"`
	// Evacuate is how many milliseconds after it went out of service a data centre
	// may still get work.
	Evacuate int `ini:"evacuate" validate:"min=0"`
	// Grace is how many seconds a stopping router has.
	Grace float64 `ini:"grace" validate:"gt=0"`
}

// LogSection sets the log.
type LogSection struct {
	Level string `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Centre is a data centre.
type Centre struct {
	Name   string `ini:"-name"`
	Region string `ini:"region" validate:"required"`
}

// fleetSettings returns what the file says of the fleet.
func (f File) fleetSettings(now time.Time, a Adapter) fleet.Settings {
	return fleet.Settings{
		ID:          core.RouterID(f.Router.ID),
		Address:     f.Router.Peer,
		DataCentre:  core.DataCentre(f.Router.DataCentre),
		Incarnation: core.Incarnation(now.UnixMilli()),
		Regions: lo.SliceToMap(f.Centres, func(c Centre) (core.DataCentre, string) {
			return core.DataCentre(c.Name), c.Region
		}),
		Retry: retry.Limits{
			Ratio: f.Bounds.Ratio, Slack: f.Bounds.Slack,
			Window: time.Duration(f.Bounds.Window * float64(time.Second)),
		},
		Multiple:   f.Bounds.Multiple,
		Drain:      time.Duration(f.Bounds.Drain) * time.Millisecond,
		Evacuation: time.Duration(f.Bounds.Evacuate) * time.Millisecond,
		Catalog:    a.Catalog,
		Entry:      a.Entry,
	}
}
