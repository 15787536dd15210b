// Package config holds the sheet and the rule for which revision is in force.
package config

import (
	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/datacentre"
	"camphorpulley.org/core/pool"
)

// Sheet is what operators state.
type Sheet struct {
	Name        string
	DataCentres []datacentre.DataCentre
	Pools       []pool.Pool
	Accounts    []account.Account
	Rules       []pool.Rule
	Versions    []Version
}

// Version is a model version that the engines of a pool are to run.
type Version struct {
	Pool    core.Pool
	Model   string
	Version string
}

// DataCentre returns one data centre of the sheet.
func (s Sheet) DataCentre(name core.DataCentre) (datacentre.DataCentre, bool) {
	for _, d := range s.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return datacentre.DataCentre{}, false
}

// Pool returns one pool of the sheet.
func (s Sheet) Pool(name core.Pool) (pool.Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return pool.Pool{}, false
}
