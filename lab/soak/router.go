package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const settingsText = `[router]
id = %s
datacentre = %s
listen = %s
ready = %s
peer = %s
metrics = %s
first = false

[store]
address = %s

[bounds]
ratio = 0.2
slack = 56
window = 10
multiple = 2
drain = 2000
evacuate = 5000
grace = 8

[log]
level = info
[datacentre a]
region = west
[datacentre b]
region = west
`

// router is a router's process, which is started again whenever it ends.
type router struct {
	id, listen, ready string
	file              string
	mu                sync.Mutex
	process           *os.Process
	starts            int
	// misses counts the checks in a row that found the router not ready.
	misses int
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// newRouter writes the settings of a router.
func newRouter(dir, id, zone, store string) (*router, error) {
	var at [4]string
	for i := range at {
		var err error
		if at[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	r := &router{id: id, listen: at[0], ready: at[1], file: filepath.Join(dir, id+".ini")}
	text := fmt.Sprintf(settingsText, id, zone, at[0], at[1], at[2], at[3], store)
	return r, os.WriteFile(r.file, []byte(text), 0o600)
}

// restartPause is the time between the end of a process and the next start.
const restartPause = 150 * time.Millisecond

// output returns where the log goes: a file beside the settings, or a pipe that
// nobody reads.
func (r *router) output(unread bool) (*os.File, error) {
	if !unread {
		return os.Create(strings.TrimSuffix(r.file, ".ini") + ".log")
	}
	reader, writer, err := os.Pipe()
	runtime.AddCleanup(r, func(f *os.File) { _ = f.Close() }, reader)
	return writer, err
}

// keep runs the process until ctx ends, and starts it again whenever it ends.
func (r *router) keep(ctx context.Context, program string, unread bool, log *zap.Logger) error {
	out, err := r.output(unread)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	for ctx.Err() == nil {
		cmd := exec.Command(program, "run", r.file)
		cmd.Stdout, cmd.Stderr = out, out
		if err := cmd.Start(); err != nil {
			return err
		}
		r.mu.Lock()
		r.process = cmd.Process
		r.starts++
		r.mu.Unlock()
		stop := context.AfterFunc(ctx, func() { _ = r.signal(syscall.SIGKILL) })
		err := cmd.Wait()
		stop()
		r.mu.Lock()
		r.process = nil
		r.mu.Unlock()
		log.Info("router_exited", zap.String("router", r.id), zap.Int("pid", cmd.Process.Pid), zap.String("state", fmt.Sprint(err)))
		sleep(ctx, restartPause)
	}
	return nil
}

// signal sends a signal to the process, if it runs.
func (r *router) signal(s os.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return nil
	}
	if err := r.process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

const (
	// checkEvery and checkMisses are the balancer's: two misses take a router out.
	checkEvery  = 500 * time.Millisecond
	checkMisses = 2
)

// check asks for the readiness of a router from time to time.
func (s *soak) check(ctx context.Context, r *router) {
	client := &http.Client{Timeout: checkEvery}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + r.ready + "/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		if r.misses++; ok {
			r.misses = 0
		}
		r.mu.Unlock()
		sleep(ctx, checkEvery)
	}
}

// balance returns a router for a new connection: one in rotation, any if fewer
// than half are.
func (s *soak) balance(random *rand.Rand) *router {
	var in []*router
	for _, r := range s.routers {
		r.mu.Lock()
		if r.misses < checkMisses {
			in = append(in, r)
		}
		r.mu.Unlock()
	}
	if 2*len(in) < len(s.routers) {
		in = s.routers
	}
	return in[random.IntN(len(in))]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
