// Command engine is a stand-in for model engines: it batches, caches prompt
// prefixes in limited memory, starts cold, reports its load with a lag, resumes
// and cancels streams, and crashes on demand. One process plays several
// engines on consecutive ports.
package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"camphorpulley.org/base/wrap"

	"camphorpulley.org/base/daemon"
)

// settings is the file of the engine stand-in.
type settings struct {
	Engine engineSettings `ini:"engine"`
}

type engineSettings struct {
	// ID is the name of the first engine up to its number.
	ID string `ini:"id" validate:"required"`
	// Listen is the address of the first engine.
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Count is the number of engines; zero counts as one.
	Count int `ini:"count" validate:"min=0,max=200"`
	// Bear, Cold and Ramp say what an engine bears, for counting violations.
	Bear int           `ini:"bear" validate:"min=1"`
	Cold int           `ini:"cold" validate:"min=1"`
	Ramp time.Duration `ini:"ramp" validate:"min=0"`
	// Warm makes the first process of each engine start warm.
	Warm bool `ini:"warm"`
	// Prefill is the time for each prompt token that is not cached, and Token
	// the time for each token of the answer.
	Prefill time.Duration `ini:"prefill" validate:"min=0"`
	Token   time.Duration `ini:"token" validate:"min=0"`
	// Memory is the number of tokens that the prefix cache holds.
	Memory int `ini:"memory" validate:"min=0"`
	// Lag is the age of load reports.
	Lag time.Duration `ini:"lag" validate:"min=0"`
	// Down is how long an engine is away after a crash.
	Down  time.Duration `ini:"down" validate:"min=0"`
	Level string        `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

func main() {
	daemon.Main(daemon.Program[settings]{
		Name:    "engine",
		Usage:   "stand-in for model engines",
		Example: "engine run deploy/lab/engine.ini",
		Level:   func(s settings) string { return s.Engine.Level },
		Run:     func(p daemon.Process, s settings) error { return run(p.Context, s.Engine) },
	})
}

func run(ctx context.Context, s engineSettings) error {
	host, port, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return wrap.Err(err, "listen address")
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return wrap.Err(err, "port")
	}
	var wg sync.WaitGroup
	failed := make(chan error, max(s.Count, 1))
	for i := range max(s.Count, 1) {
		e := newEngine(fmt.Sprintf("%s%d", s.ID, i+1), net.JoinHostPort(host, strconv.Itoa(first+i)), s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			failed <- e.run(ctx)
		}()
	}
	wg.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}
