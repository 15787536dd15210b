// Command standin runs one case of the review: the routers of a small deployment as separate
// processes, between stand-ins for the platform, runners and clients.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it leaves out the disruption. With KEEP=1 it keeps the logs of
// the routers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(e *env, trouble bool) (bool, error){
	"versions":  mixVersions,
	"inventory": answerInventoryWithoutEnd,
	"silence":   pauseLoneVersion,
	"early":     crashEarlyAnswer,
	"late":      readBodyLate,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(c func(*env, bool) (bool, error), root, record string) int {
	e, err := newEnv(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer e.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		e.stop()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	e.log.event("disruption: %t", trouble)
	broken, err := c(e, trouble)
	switch {
	case err != nil:
		e.log.event("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// result writes a line to the record and to the standard output.
func (e *env) result(format string, args ...any) {
	e.log.event(format, args...)
	fmt.Printf(format+"\n", args...)
}
