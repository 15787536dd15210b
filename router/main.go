// Command camphorpulley is the router: the daemon on entry instances.
package main

import (
	"camphorpulley.org/base/daemon"
	"camphorpulley.org/router/app"
	"camphorpulley.org/router/setup"
)

func main() {
	daemon.Main(daemon.Program[setup.File]{
		Name:    "camphorpulley",
		Usage:   "routes requests of returning chats to engines and applications",
		Example: "camphorpulley run deploy/router.ini",
		Level:   func(f setup.File) string { return f.Log.Level },
		Run:     app.Run,
	})
}
