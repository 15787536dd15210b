package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time between the end of a process and the start of the next one.
const restartDelay = 500 * time.Millisecond

// ports are those that a router listens on. They are the same on all machines, and each machine
// has a loopback address of its own.
type ports struct {
	front, ready, peer, detour int
}

// freePorts returns ports that are free on all of the given addresses. They are below those that
// the kernel gives to connections.
func freePorts(ips []string) (ports, error) {
	const first, last = 12000, 30000
	for range 100 {
		base := first + rand.IntN(last-first)
		if free(ips, base) && free(ips, base+1) && free(ips, base+2) && free(ips, base+3) {
			return ports{front: base, ready: base + 1, peer: base + 2, detour: base + 3}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// free reports whether nothing listens on a port of the addresses.
func free(ips []string, port int) bool {
	for _, ip := range ips {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// router is the process of the system on one machine. The platform starts it again when it has
// ended.
type router struct {
	name, ip, zone string
	ports
	settings string
	log      *recorder
	// memoryMB is the memory of the machine: the platform kills a process that exceeds it.
	memoryMB int

	mu      sync.Mutex
	process *os.Process
	// signalled is true once the platform has told the process to end.
	signalled bool
	// ownEnds are the times at which processes have ended by themselves.
	ownEnds []time.Time
	misses  int
	ready   bool
	stopped bool
	done    chan struct{}
}

// render fills in the settings template of the deploy file.
func render(template string, values map[string]string, zones []string) string {
	section := regexp.MustCompile(`(?s)\{\{#zones\}\}\n?(.*?)\{\{/zones\}\}\n?`)
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		body := section.FindStringSubmatch(s)[1]
		var all strings.Builder
		for _, z := range zones {
			all.WriteString(strings.NewReplacer("{{@}}", z, "{{.}}", "levant").Replace(body))
		}
		return all.String()
	})
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			panic("no value for " + s)
		}
		return v
	})
}

// newRouter writes the settings of a router as the platform does.
func newRouter(e *env, name, zone string, number int) (*router, error) {
	r := &router{name: name, ip: e.machineIP(number), zone: zone, ports: e.ports, log: e.log, memoryMB: 414, done: make(chan struct{})}
	r.settings = filepath.Join(e.dir, name+".conf")
	return r, r.writeSettings(e, true)
}

func (r *router) writeSettings(e *env, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join(e.root, "platform/settings.ini.tmpl"))
	if err != nil {
		return err
	}
	text := render(string(template), map[string]string{
		"node_name": r.name, "zone": r.zone, "ip": r.ip, "bootstrap": fmt.Sprint(bootstrap),
		"listen.front": fmt.Sprintf("%s:%d", r.ip, r.ports.front), "listen.ready": fmt.Sprintf("%s:%d", r.ip, r.ports.ready),
		"internal_ports.0": fmt.Sprint(r.ports.peer), "internal_ports.1": fmt.Sprint(r.ports.detour), "platform.address": e.store.address,
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "56", "bounds.budget_window_s": "10", "bounds.cap_factor": "2",
		"bounds.drain_ms": "2000", "bounds.evacuation_ms": "5000", "bounds.contact_ms": "3000", "bounds.grace_s": "8",
	}, e.zones)
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// supervise runs the process and starts it again whenever it has ended, until the router is
// stopped. Later starts aren't the first one of the system.
func (r *router) supervise(e *env) {
	defer close(r.done)
	for {
		out, err := os.OpenFile(filepath.Join(e.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		cmd := exec.Command("target/platform", "run", r.settings)
		cmd.Dir, cmd.Stdout, cmd.Stderr = e.root, out, out
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			panic(err)
		}
		r.process, r.signalled = cmd.Process, false
		r.mu.Unlock()
		r.log.event("machine %s: process %d started", r.name, cmd.Process.Pid)
		watched, stop := context.WithCancel(context.Background())
		go r.limitMemory(watched, cmd.Process.Pid)
		err = cmd.Wait()
		stop()
		_ = out.Close()
		r.mu.Lock()
		r.process = nil
		if !r.signalled {
			r.ownEnds = append(r.ownEnds, time.Now())
			r.log.event("machine %s: process %d has ended by itself: %v", r.name, cmd.Process.Pid, err)
		} else {
			r.log.event("machine %s: process %d has ended as told: %v", r.name, cmd.Process.Pid, err)
		}
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		if err := r.writeSettings(e, false); err != nil {
			panic(err)
		}
		time.Sleep(restartDelay)
	}
}

// limitMemory kills the process if it exceeds the memory of its machine. That counts as an end
// by itself.
func (r *router) limitMemory(ctx context.Context, pid int) {
	for ctx.Err() == nil {
		if mb := residentMB(pid); mb > r.memoryMB {
			r.log.event("machine %s: process %d uses %d MB of %d MB and is killed", r.name, pid, mb, r.memoryMB)
			if p, err := os.FindProcess(pid); err == nil {
				_ = p.Kill()
			}
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// residentMB returns the memory of a process, zero if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// signal sends a signal to the process, which it doesn't survive unless it is SIGHUP.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return
	}
	r.log.event("machine %s: %s", r.name, s)
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		r.signalled = true
	}
	_ = r.process.Signal(s)
}

// stop ends the process for good.
func (r *router) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.signal(syscall.SIGKILL)
	<-r.done
}

// checkReadiness asks the router each second, as the platform does. After two misses it gets
// no new connections.
func (r *router) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", r.ip, r.ports.ready))
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		if r.misses++; ok {
			r.misses = 0
		}
		was := r.ready
		r.ready = ok || (r.ready && r.misses < 2)
		if r.ready != was {
			r.log.event("machine %s in rotation: %t", r.name, r.ready)
		}
		r.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (r *router) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// address returns where clients connect.
func (r *router) address() string { return fmt.Sprintf("%s:%d", r.ip, r.ports.front) }
