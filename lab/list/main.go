// Command list is a stand-in for the platform's list of live and draining
// instances. A change to the list becomes visible after a lag.
package main

import (
	"time"

	"camphorpulley.org/base/daemon"
)

// settings is the content of the settings file.
type settings struct {
	List      listSettings       `ini:"list"`
	Instances []instanceSettings `ini:"instance" validate:"dive"`
}

type listSettings struct {
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Lag is the time until a change to the list becomes visible.
	Lag      time.Duration `ini:"lag" validate:"min=0"`
	LogLevel string        `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

type instanceSettings struct {
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
		Level:   func(s settings) string { return s.List.LogLevel },
		Run: func(p daemon.Process, s settings) error {
			app := daemon.NewApp()
			newServer(time.Now(), s).routes(app)
			return p.Serve(s.List.Listen, app)
		},
	})
}
