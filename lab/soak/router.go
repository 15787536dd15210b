package main

import (
	"bytes"
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

// settingsFormat is the format of a router's settings file. Its arguments are the
// id, the zone, the addresses that newRouter chooses, the address of the store, and the values
// of the bounds on roll-outs, which are empty without them.
const settingsFormat = `[router]
id = %s
datacentre = %s
listen = %s
ready = %s
peer = %s
metrics = %s
detour = %s
first = true

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
share = %s
allowance = %s
revert = %s

[log]
level = info
[datacentre a]
region = west
[datacentre b]
region = west
`

// router is a router's process, which is restarted whenever it exits.
type router struct {
	// listenAddress is where callers connect, readinessAddress where the load
	// balancer checks, statusAddress where operators read the status.
	id, listenAddress, readinessAddress, statusAddress string
	settingsFile                                       string
	// mu guards the fields below.
	mu sync.Mutex
	// process is nil while no process runs.
	process *os.Process
	starts  int
	// program is the path of the executable that the next process runs.
	program string
	// failedChecks is the number of readiness checks in a row that failed.
	failedChecks int
}

const (
	// Routers listen on ports from firstPort to lastPort, which are below those that the
	// kernel gives to connections: a router that is down would lose a port from there.
	firstPort = 20000
	lastPort  = 32000
	// portsPerProcess is by how much the first ports of two soaks differ that run at the
	// same time.
	portsPerProcess = 400
)

// nextPort is the offset of the next port to try from firstPort.
var nextPort = os.Getpid() * portsPerProcess

// freeAddress returns an address on which nothing listens, another one each time.
func freeAddress() (string, error) {
	var err error
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%(lastPort-firstPort))
		nextPort++
		var ln net.Listener
		if ln, err = net.Listen("tcp4", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", err
}

// newRouter chooses addresses for a router and writes its settings file.
func newRouter(dir, id, zone, store string, rollouts bool) (*router, error) {
	var addresses [5]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	r := &router{id: id, listenAddress: addresses[0], readinessAddress: addresses[1], statusAddress: addresses[3], settingsFile: filepath.Join(dir, id+".ini")}
	share, allowance, revert := "", "", ""
	if rollouts {
		share, allowance, revert = "0.1", "50", "5000"
	}
	text := fmt.Sprintf(settingsFormat, id, zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], store, share, allowance, revert)
	return r, os.WriteFile(r.settingsFile, []byte(text), 0o600)
}

// restartDelay is the time between the exit of a process and the next start.
const restartDelay = 150 * time.Millisecond

// openLog opens the output for the router's log: a file beside the settings, or a
// pipe that nobody reads.
func (r *router) openLog(unread bool) (*os.File, error) {
	if !unread {
		return os.Create(strings.TrimSuffix(r.settingsFile, ".ini") + ".log")
	}
	reader, writer, err := os.Pipe()
	runtime.AddCleanup(r, func(f *os.File) { _ = f.Close() }, reader)
	return writer, err
}

// executable returns the path of the executable that the next process runs.
func (r *router) executable() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.program
}

// supervise runs the process, restarts it whenever it exits, and kills it when ctx
// ends. It returns an error if the log can't be opened or the process can't be
// started.
func (r *router) supervise(ctx context.Context, unread bool, log *zap.Logger, started func()) error {
	out, err := r.openLog(unread)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	for ctx.Err() == nil {
		cmd := exec.Command(r.executable(), "run", r.settingsFile)
		cmd.Stdout, cmd.Stderr = out, out
		started()
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
		if err := r.markRestarted(); err != nil {
			return err
		}
		sleep(ctx, restartDelay)
	}
	return nil
}

// markRestarted states in the settings of the next process that it isn't the first one.
func (r *router) markRestarted() error {
	text, err := os.ReadFile(r.settingsFile)
	if err != nil {
		return err
	}
	return os.WriteFile(r.settingsFile, bytes.Replace(text, []byte("\nfirst = true\n"), []byte("\nfirst = false\n"), 1), 0o600)
}

// signal sends a signal to the process. It does nothing if none runs.
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
	// checkInterval is the interval, and the timeout, of the load balancer's
	// readiness checks. After maxFailedChecks failures in a row, a router gets no
	// new connections.
	checkInterval   = 500 * time.Millisecond
	maxFailedChecks = 2
)

// checkReadiness checks the readiness of a router every checkInterval until ctx
// ends, and counts its failures in a row.
func (s *soak) checkReadiness(ctx context.Context, r *router) {
	client := &http.Client{Timeout: checkInterval}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + r.readinessAddress + "/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		if r.failedChecks++; ok {
			r.failedChecks = 0
		}
		r.mu.Unlock()
		sleep(ctx, checkInterval)
	}
}

// pickRouter returns a router for a new connection, as a load balancer does: a
// random one of those that pass their readiness checks, or of all routers if fewer
// than half pass.
func (s *soak) pickRouter(random *rand.Rand) *router {
	var ready []*router
	for _, r := range s.routers {
		r.mu.Lock()
		if r.failedChecks < maxFailedChecks {
			ready = append(ready, r)
		}
		r.mu.Unlock()
	}
	if 2*len(ready) < len(s.routers) {
		ready = s.routers
	}
	return ready[random.IntN(len(ready))]
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
