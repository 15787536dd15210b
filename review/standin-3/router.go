package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// settingsFormat is platform/settings.ini.tmpl filled in for a small deployment.
const settingsFormat = `[router]
id = %s
datacentre = %s
listen = %s
ready = %s
peer = %s
detour = %s
metrics = %s
first = %t

[store]
address = %s

[bounds]
ratio = 0.2
slack = 56
window = 10
multiple = 2
drain = 2000
evacuate = 5000
recover = 3000
grace = 8
share =
allowance =
revert =

[links]
delay = 0
price = 0

[limits]
memory = 414
descriptors = 6150
cores = 0.608

[log]
level = info
[datacentre levant-a]
region = levant
[datacentre levant-b]
region = levant
[datacentre levant-c]
region = levant
`

// router is a process of the program under review, and what the platform does with it.
type router struct {
	id, zone, dir         string
	front, ready          string
	peer, detour, metrics string
	store                 string

	mu sync.Mutex
	// process is nil while none runs, startedAt when it was started, termAt when it was sent SIGTERM.
	process           *os.Process
	startedAt, termAt time.Time
	exited            chan struct{}
	// misses is the number of checks of readiness in a row without a 200.
	misses int
}

// Ports are taken from firstPort to lastPort, below those that the kernel gives to connections: a
// process that is down would lose a port from there.
const (
	firstPort = 20000
	lastPort  = 32000
)

// nextPort is the offset of the next port to try.
var nextPort = os.Getpid() * 61

// freeAddresses returns loopback addresses that are free now, other ones each time.
func freeAddresses(n int) ([]string, error) {
	var all []string
	for tries := 0; len(all) < n; tries++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%(lastPort-firstPort))
		nextPort++
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			if tries > lastPort-firstPort {
				return nil, err
			}
			continue
		}
		_ = ln.Close()
		all = append(all, address)
	}
	return all, nil
}

func newRouter(dir, id, zone, store string) (*router, error) {
	a, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	return &router{id: id, zone: zone, dir: dir, front: a[0], ready: a[1], peer: a[2], detour: a[3], metrics: a[4], store: store, misses: 2}, nil
}

// start starts the process with the command of the deploy file.
func (r *router) start(first bool) error {
	file := filepath.Join(r.dir, r.id+".conf")
	text := fmt.Sprintf(settingsFormat, r.id, r.zone, r.front, r.ready, r.peer, r.detour, r.metrics, first, r.store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, r.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/platform", "run", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.process, r.startedAt, r.termAt, r.exited = cmd.Process, time.Now(), time.Time{}, exited
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		r.mu.Lock()
		r.process = nil
		r.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process and returns what is closed once it has ended.
func (r *router) signal(s syscall.Signal) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGTERM {
		r.termAt = time.Now()
	}
	if r.process != nil {
		_ = r.process.Signal(s)
	}
	return r.exited
}

// inTouch reports whether the process has run without a start or a SIGTERM for a time.
func (r *router) inTouch(contact time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process != nil && r.termAt.IsZero() && time.Since(r.startedAt) > contact
}

// watch checks the readiness each second, as the platform does, until stop is closed.
func (r *router) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + r.ready + "/readiness")
		good := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		if r.misses++; good {
			r.misses = 0
		}
		r.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-stop:
			return
		}
	}
}

// inRotation reports whether the platform forwards new connections to the router.
func (r *router) inRotation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses < 2
}
