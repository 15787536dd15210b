// Command camphorpulley is the router, a daemon that runs on each entry instance.
package main

import (
	"camphorpulley.org/base/daemon"
	"camphorpulley.org/router/app"
	"camphorpulley.org/router/setup"
)

func main() {
	daemon.Main(daemon.Program[setup.Settings]{
		Name:    "camphorpulley",
		Usage:   "routes chats to engines that have their prompts cached, and requests to applications",
		Example: "camphorpulley run deploy/router.ini",
		Level:   func(s setup.Settings) string { return s.Log.Level },
		Run:     app.Run,
	})
}
