package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, each line with the time since its start.
type recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	started time.Time
	// runs holds by request the runners that ran it.
	runs map[string][]string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), file: f, started: time.Now(), runs: map[string][]string{}}, nil
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(id, runner, version, method, uri string, bytes int) {
	r.event("run %s at %s version %s: %s %s, %d bytes", id, runner, version, method, uri, bytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], runner)
}

func (r *recorder) answered(id, runner string) {
	r.event("runner %s has answered %s", runner, id)
}

func (r *recorder) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
