// Package sheet reads the operators' sheet, which is an INI file.
package sheet

import "time"

// file is the sheet as it is written.
type file struct {
	Sheet       header       `ini:"sheet"`
	DataCentres []dataCentre `ini:"datacentre" validate:"required,dive"`
	Pools       []poolPart   `ini:"pool" validate:"required,dive"`
	Accounts    []accountRow `ini:"account" validate:"required,dive"`
	Rules       []rulePart   `ini:"rule" validate:"dive"`
	Versions    []version    `ini:"version" validate:"dive"`
}

type header struct {
	Name string `ini:"name" validate:"required"`
}

type dataCentre struct {
	Name    string `ini:"-name"`
	Region  string `ini:"region" validate:"required"`
	Service string `ini:"service" validate:"omitempty,oneof=in out"`
	Seats   int    `ini:"seats" validate:"min=0,max=1000"`
}

type poolPart struct {
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

type accountRow struct {
	Name     string `ini:"-name"`
	Token    string `ini:"token" validate:"required,len=64,hexadecimal,lowercase"`
	Share    int    `ini:"share" validate:"min=0,max=1000"`
	Priority int    `ini:"priority" validate:"min=0,max=9"`
}

type rulePart struct {
	Name    string   `ini:"-name"`
	Account string   `ini:"account"`
	Pool    string   `ini:"pool"`
	Allow   []string `ini:"allow"`
	Bar     []string `ini:"bar"`
	Cross   []string `ini:"cross"`
}

type version struct {
	Model   string `ini:"-name"`
	Pool    string `ini:"pool" validate:"required"`
	Version string `ini:"version" validate:"required"`
}
