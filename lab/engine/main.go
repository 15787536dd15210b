// Command engine is a stand-in for model engines: it runs requests
// concurrently, caches prompt prefixes in limited memory, starts cold, reports
// its load with a lag, resumes and cancels streams, and crashes on request. One
// process serves several engines on consecutive ports.
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

// settings is the content of the settings file.
type settings struct {
	Engine engineSettings `ini:"engine"`
}

type engineSettings struct {
	// IDPrefix precedes the number of an engine, from 1, in the engine's id.
	IDPrefix string `ini:"id" validate:"required"`
	// Listen is the address of the first engine; each further engine listens on
	// the next port.
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Count is the number of engines; zero means one.
	Count int `ini:"count" validate:"min=0,max=200"`
	// Capacity is the number of concurrent requests above which a request counts
	// as a violation. At the start of an engine process this limit is
	// ColdCapacity; it reaches Capacity after Ramp.
	Capacity     int           `ini:"bear" validate:"min=1"`
	ColdCapacity int           `ini:"cold" validate:"min=1"`
	Ramp         time.Duration `ini:"ramp" validate:"min=0"`
	// StartWarm gives the first process of each engine its full capacity from
	// the start.
	StartWarm bool `ini:"warm"`
	// PrefillTime is the time per prompt token that is not cached.
	PrefillTime time.Duration `ini:"prefill" validate:"min=0"`
	// DecodeTime is the time per token of the completion.
	DecodeTime time.Duration `ini:"token" validate:"min=0"`
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int `ini:"memory" validate:"min=0"`
	// LoadLag is the age of the figures in a load report.
	LoadLag time.Duration `ini:"lag" validate:"min=0"`
	// RestartDelay is the time between a crash and the start of the next process.
	RestartDelay time.Duration `ini:"down" validate:"min=0"`
	LogLevel     string        `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

func main() {
	daemon.Main(daemon.Program[settings]{
		Name:    "engine",
		Usage:   "stand-in for model engines",
		Example: "engine run deploy/lab/engine.ini",
		Level:   func(s settings) string { return s.Engine.LogLevel },
		Run:     func(p daemon.Process, s settings) error { return run(p.Context, s.Engine) },
	})
}

func run(ctx context.Context, s engineSettings) error {
	host, port, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return wrap.Err(err, "split listen address")
	}
	firstPort, err := strconv.Atoi(port)
	if err != nil {
		return wrap.Err(err, "parse listen port")
	}
	var wg sync.WaitGroup
	results := make(chan error, max(s.Count, 1))
	for i := range max(s.Count, 1) {
		e := newEngine(fmt.Sprintf("%s%d", s.IDPrefix, i+1), net.JoinHostPort(host, strconv.Itoa(firstPort+i)), s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- e.run(ctx)
		}()
	}
	wg.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}
