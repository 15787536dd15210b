// Command standin-3 plays the cases of the third review that are scripts: it starts routers with
// the command of the deploy file, beside stand-ins for the store, the runners and the clients.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// journal writes lines with the time since its start to a file.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "folder for settings and logs")
	out := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	cases := map[string]func(*deployment, bool) int{"deadly-after-restart": deadlyAfterRestart, "deadly-part": deadlyPartAfterKill}
	run, ok := cases[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		return exitFailed
	}
	d := &deployment{dir: *dir, journal: &journal{file: file, start: time.Now()}, stop: make(chan struct{})}
	defer d.end()
	ended := make(chan int, 1)
	go func() { ended <- run(d, *trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case <-signals:
		return exitFailed
	case <-time.After(mostTime):
		fmt.Println("the case takes too long")
		return exitFailed
	}
}

// mostTime is less than the 120 s that a case may take.
const mostTime = 115 * time.Second
