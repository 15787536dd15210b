// Command list is a stand-in for the platform's list of live and leaving
// instances, which lags.
package main

import (
	"time"

	"camphorpulley.org/base/daemon"
)

// settings is the file of the list stand-in.
type settings struct {
	List      listSettings  `ini:"list"`
	Instances []instanceRow `ini:"instance" validate:"dive"`
}

type listSettings struct {
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Lag is the time until a change shows.
	Lag   time.Duration `ini:"lag" validate:"min=0"`
	Level string        `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

type instanceRow struct {
	ID         string `ini:"-name"`
	Role       string `ini:"role" validate:"required,oneof=entry upstream"`
	Pool       string `ini:"pool"`
	DataCentre string `ini:"datacentre" validate:"required"`
	Address    string `ini:"address" validate:"required,hostname_port"`
	Seat       int    `ini:"seat" validate:"min=0,max=64"`
}

func main() {
	daemon.Main(daemon.Program[settings]{
		Name:    "list",
		Usage:   "stand-in for the platform's list of instances",
		Example: "list run deploy/lab/list.ini",
		Level:   func(s settings) string { return s.List.Level },
		Run: func(p daemon.Process, s settings) error {
			app := daemon.App()
			newServer(time.Now(), s).routes(app)
			return p.Serve(s.List.Listen, app)
		},
	})
}
