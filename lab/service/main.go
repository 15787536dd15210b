// Command service is a stand-in for a plain application: it counts how often
// each idempotency key was run.
package main

import (
	"time"

	"camphorpulley.org/base/daemon"
)

// settings is the file of the service stand-in.
type settings struct {
	Service serviceSettings `ini:"service"`
}

type serviceSettings struct {
	ID     string `ini:"id" validate:"required"`
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Work is how long a request takes.
	Work time.Duration `ini:"work" validate:"min=0"`
	// Bear is the number of requests at a time above which a request counts
	// as a violation; zero counts none.
	Bear  int    `ini:"bear" validate:"min=0"`
	Level string `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

func main() {
	daemon.Main(daemon.Program[settings]{
		Name:    "service",
		Usage:   "stand-in for an application upstream",
		Example: "service run deploy/lab/service.ini",
		Level:   func(s settings) string { return s.Service.Level },
		Run: func(p daemon.Process, s settings) error {
			app := daemon.App()
			newServer(s.Service).routes(app)
			return p.Serve(s.Service.Listen, app)
		},
	})
}
