// Package sheet parses and edits the operators' sheet: an INI file with the
// data centres, pools, accounts, rules and model versions of the fleet.
package sheet

import "time"

// file holds the sections of a sheet in the form of the INI file. Its fields are
// named after the keys; the types to which toConfig converts describe them.
type file struct {
	Sheet       sheetSection        `ini:"sheet"`
	DataCentres []dataCentreSection `ini:"datacentre" validate:"required,dive"`
	Pools       []poolSection       `ini:"pool" validate:"required,dive"`
	Accounts    []accountSection    `ini:"account" validate:"required,dive"`
	Rules       []ruleSection       `ini:"rule" validate:"dive"`
	Versions    []versionSection    `ini:"version" validate:"dive"`
}

type sheetSection struct {
	Name string `ini:"name" validate:"required"`
}

type dataCentreSection struct {
	Name    string `ini:"-name"`
	Region  string `ini:"region" validate:"required"`
	Service string `ini:"service" validate:"omitempty,oneof=in out"`
	Seats   int    `ini:"seats" validate:"min=0,max=1000"`
}

type poolSection struct {
	Name     string        `ini:"-name"`
	Kind     string        `ini:"kind" validate:"required,oneof=model service"`
	Models   []string      `ini:"models"`
	Prefix   string        `ini:"prefix"`
	Once     []string      `ini:"once"`
	Bear     int           `ini:"bear" validate:"min=1,max=100000"`
	Cold     int           `ini:"cold" validate:"min=1,ltefield=Bear"`
	Ramp     time.Duration `ini:"ramp" validate:"min=0"`
	Multiple float64       `ini:"multiple" validate:"omitempty,gt=1,max=100"`
	Longest  time.Duration `ini:"longest" validate:"required,gt=0"`
	Wait     time.Duration `ini:"wait" validate:"min=0,ltefield=Longest"`
}

type accountSection struct {
	Name     string `ini:"-name"`
	Token    string `ini:"token" validate:"required,len=64,hexadecimal,lowercase"`
	Share    int    `ini:"share" validate:"min=0,max=1000"`
	Priority int    `ini:"priority" validate:"min=0,max=9"`
}

type ruleSection struct {
	Name    string   `ini:"-name"`
	Account string   `ini:"account"`
	Pool    string   `ini:"pool"`
	Allow   []string `ini:"allow"`
	Bar     []string `ini:"bar"`
	Cross   []string `ini:"cross"`
}

type versionSection struct {
	Model   string `ini:"-name"`
	Pool    string `ini:"pool" validate:"required"`
	Version string `ini:"version" validate:"required"`
}
