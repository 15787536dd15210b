// Command log is a stand-in for the platform's log service. It serves streams
// of records with offsets, with a limited rate of appends and a retention time,
// and simulates outages and responses that are lost after the append has taken
// effect.
package main

import (
	"camphorpulley.org/base/daemon"
)

func main() {
	daemon.Main(daemon.Program[settings]{
		Name:    "log",
		Usage:   "stand-in for the platform's log service",
		Example: "log run deploy/lab/log.ini",
		Run: func(p daemon.Process, s settings) error {
			app := daemon.NewApp()
			newServer(s.Log).routes(app)
			return p.Serve(s.Log.Listen, app)
		},
	})
}
