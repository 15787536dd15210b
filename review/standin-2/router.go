package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine that runs the router, with the sizes that its settings state.
type machine struct {
	name, zone, ip string
	memoryMB       int
	front, ready   string
	settings       string
	program        string
	mu             sync.Mutex
	process        *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
	log   *os.File
}

// templatePath is the template of the settings, which the deploy file names, and programPath
// the program of its run line.
const (
	templatePath = "platform/settings.ini.tmpl"
	programPath  = "target/platform"
)

// bounds are those of the small deployments.
var bounds = map[string]string{
	"bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "56", "bounds.budget_window_s": "10", "bounds.cap_factor": "2",
	"bounds.drain_ms": "2000", "bounds.evacuation_ms": "5000", "bounds.contact_ms": "3000", "bounds.grace_s": "8",
	"limits.max_fds": "6150", "limits.cpu_share": "0.608",
}

// newMachine writes the settings of a machine, as the platform fills them in from the template.
func newMachine(dir, storeAddress, name, zone, ip string, memoryMB int, zones map[string]string) *machine {
	ports := freePorts(ip, 4)
	m := &machine{name: name, zone: zone, ip: ip, memoryMB: memoryMB, program: programPath}
	m.front, m.ready = ip+":"+ports[0], ip+":"+ports[1]
	values := map[string]string{
		"node_name": name, "zone": zone, "ip": ip, "listen.front": m.front, "listen.ready": m.ready,
		"internal_ports.0": ports[2], "internal_ports.1": ports[3], "bootstrap": "false", "platform.address": storeAddress,
		"limits.memory_mb": strconv.Itoa(memoryMB),
	}
	for key, value := range bounds {
		values[key] = value
	}
	text, err := os.ReadFile(templatePath)
	if err != nil {
		unable(err)
	}
	m.settings = filepath.Join(dir, name+".ini")
	if err := os.WriteFile(m.settings, []byte(render(string(text), values, zones)), 0o600); err != nil {
		unable(err)
	}
	if m.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		unable(err)
	}
	return m
}

var (
	zonesSection = regexp.MustCompile(`(?s)\{\{#zones\}\}\n?(.*?)\{\{/zones\}\}\n?`)
	placeholder  = regexp.MustCompile(`\{\{[^#/}]+\}\}`)
)

// render fills in a template.
func render(text string, values, zones map[string]string) string {
	text = zonesSection.ReplaceAllStringFunc(text, func(section string) string {
		inner, all := zonesSection.FindStringSubmatch(section)[1], ""
		for zone, region := range zones {
			all += strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(inner)
		}
		return all
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
}

// freePorts returns ports of an address on which nothing listens.
func freePorts(ip string, count int) []string {
	var ports []string
	for range count {
		ln := listen(ip)
		defer func() { _ = ln.Close() }()
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		ports = append(ports, port)
	}
	return ports
}

// start starts the process.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(m.program, "run", m.settings)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORPULLEY_NODE_FILE=" + m.settings}
	// A process must not survive the one that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		unable(err)
	}
	ended := make(chan struct{})
	m.process, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

// kill ends the process with SIGKILL and waits until it has ended.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.ended
	m.process = nil
}

// signal sends a signal to the process.
func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// alive reports whether the process runs.
func (m *machine) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process in megabytes of 2^20 bytes.
func (m *machine) residentMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

var readyClient = &http.Client{Timeout: time.Second}

// isReady reports whether the machine answers the balancer's question with 200.
func (m *machine) isReady() bool {
	resp, err := readyClient.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(ctx context.Context, machines ...*machine) {
	for _, m := range machines {
		for !m.isReady() {
			if ctx.Err() != nil {
				unable(fmt.Errorf("machine %s isn't ready", m.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
