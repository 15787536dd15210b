// Command service is a stand-in for a plain application. It counts how often it
// has run a request for each idempotency key.
package main

import (
	"time"

	"camphorpulley.org/base/daemon"
)

// settings is the content of the settings file.
type settings struct {
	Service serviceSettings `ini:"service"`
}

type serviceSettings struct {
	ID     string `ini:"id" validate:"required"`
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// WorkTime is how long the service takes to run a request.
	WorkTime time.Duration `ini:"work" validate:"min=0"`
	// Capacity is the number of concurrent requests above which a request counts
	// as a violation; zero means no limit.
	Capacity int    `ini:"bear" validate:"min=0"`
	LogLevel string `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

func main() {
	daemon.Main(daemon.Program[settings]{
		Name:    "service",
		Usage:   "stand-in for an application upstream",
		Example: "service run deploy/lab/service.ini",
		Level:   func(s settings) string { return s.Service.LogLevel },
		Run: func(p daemon.Process, s settings) error {
			app := daemon.NewApp()
			newServer(s.Service).routes(app)
			return p.Serve(s.Service.Listen, app)
		},
	})
}
