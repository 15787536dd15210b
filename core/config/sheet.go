// Package config holds the sheet, which is the configuration that operators write,
// and decides which revision of it is in force.
package config

import (
	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/datacentre"
	"camphorpulley.org/core/pool"
)

// Sheet is the configuration of all routers as operators write it.
type Sheet struct {
	Name          string
	DataCentres   []datacentre.DataCentre
	Pools         []pool.Pool
	Accounts      []account.Account
	Rules         []pool.Rule
	ModelVersions []ModelVersion
}

// ModelVersion is the model version that the engines of a pool must run.
type ModelVersion struct {
	Pool    core.Pool
	Model   string
	Version string
}

// DataCentre returns the data centre with the given name.
func (s Sheet) DataCentre(name core.DataCentre) (datacentre.DataCentre, bool) {
	for _, d := range s.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return datacentre.DataCentre{}, false
}

// Pool returns the pool with the given name.
func (s Sheet) Pool(name core.Pool) (pool.Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return pool.Pool{}, false
}
