package main

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/logservice"
)

// faults are the failures that the engine injects at present.
type faults struct {
	// TruncateAfter is the number of tokens after which a stream ends without its
	// end mark; zero means no truncation.
	TruncateAfter int `json:"truncate_after"`
	// MismatchID makes responses carry the id of another request.
	MismatchID bool `json:"cross"`
	// StallAfter is the number of tokens after which a stream pauses for
	// stallDuration without being closed; zero means no stall.
	StallAfter int `json:"stall_after"`
	// DuplicateEvents makes the engine send the event of every token twice.
	DuplicateEvents bool `json:"repeat"`
	// ErrorOnRetry is the status with which the engine responds, with a JSON body that
	// describes an error, to each attempt of a request but the first; zero for none.
	ErrorOnRetry int `json:"error_on_retry"`
}

// stats are the counters of an engine since the start of the program, except
// for Boot and Running, which describe the present process.
type stats struct {
	// Boot identifies the process, and Boots counts the processes started.
	Boot        string `json:"boot"`
	Boots       int    `json:"boots"`
	Running     int    `json:"running"`
	PeakRunning int    `json:"most"`
	// Violations counts the requests that exceeded the capacity.
	Violations int `json:"violations"`
	Requests   int `json:"requests"`
	// Cancelled counts the streams that ended before their end mark.
	Cancelled    int `json:"cancelled"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// loadSample is the load at one time. A load report is taken from the newest
// sample that is at least LoadLag old.
type loadSample struct {
	at      time.Time
	boot    string
	running int
}

type engine struct {
	id       string
	address  string
	settings engineSettings
	crashed  chan struct{}

	mu        sync.Mutex
	startedAt time.Time
	stats     stats
	cache     prefixCache
	faults    faults
	samples   []loadSample
}

func newEngine(id, address string, s engineSettings) *engine {
	return &engine{id: id, address: address, settings: s, crashed: make(chan struct{}, 1)}
}

// run simulates engine processes one after the other until ctx is done. A crash
// closes the listener and all connections of a process; after RestartDelay the
// next process starts.
func (e *engine) run(ctx context.Context) error {
	for {
		ln, err := listener.Listen(e.address)
		if err != nil {
			return err
		}
		e.startProcess(time.Now())
		app := daemon.NewApp()
		e.routes(app)
		go func() { _ = app.Listener(ln) }()
		select {
		case <-ctx.Done():
			_ = ln.Close()
			ln.ResetConnections()
			return nil
		case <-e.crashed:
		}
		_ = ln.Close()
		ln.ResetConnections()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(e.settings.RestartDelay):
		}
	}
}

func (e *engine) startProcess(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt = now
	if e.settings.StartWarm && e.stats.Boots == 0 {
		e.startedAt = now.Add(-e.settings.Ramp)
	}
	e.stats.Boot = uuid.NewString()[:8]
	e.stats.Boots++
	e.stats.Running = 0
	e.cache = prefixCache{capacityTokens: e.settings.CacheTokens}
	e.samples = nil
}

// capacity returns the number of requests that the engine can run at the time
// now.
func (e *engine) capacity(now time.Time) int {
	age := now.Sub(e.startedAt)
	if age >= e.settings.Ramp {
		return e.settings.Capacity
	}
	grown := float64(e.settings.Capacity-e.settings.ColdCapacity) * float64(age) / float64(e.settings.Ramp)
	return e.settings.ColdCapacity + int(grown)
}

// startRequest counts a request as running. It returns the boot id of the
// process that runs it and the number of its prompt tokens that are cached.
func (e *engine) startRequest(now time.Time, prompt []block) (boot string, cachedTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	e.stats.Running++
	e.stats.PeakRunning = max(e.stats.PeakRunning, e.stats.Running)
	if e.stats.Running > e.capacity(now) {
		e.stats.Violations++
	}
	e.recordLoadLocked(now)
	cachedTokens = e.cache.lookup(prompt)
	for _, b := range prompt {
		e.stats.PromptTokens += b.tokens
	}
	e.stats.CachedTokens += cachedTokens
	return e.stats.Boot, cachedTokens
}

// endRequest counts a request as ended, unless the process that ran it has
// crashed since.
func (e *engine) endRequest(now time.Time, boot string, cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.stats.Boot {
		return
	}
	e.stats.Running--
	if cancelled {
		e.stats.Cancelled++
	}
	e.recordLoadLocked(now)
}

// maxSamples is the largest number of load samples that an engine keeps, to
// bound their memory.
const maxSamples = 4096

func (e *engine) recordLoadLocked(now time.Time) {
	e.samples = append(e.samples, loadSample{now, e.stats.Boot, e.stats.Running})
	if len(e.samples) > maxSamples {
		e.samples = append([]loadSample{}, e.samples[maxSamples/2:]...)
	}
}

// loadReport returns the load as it was LoadLag before now.
func (e *engine) loadReport(now time.Time) logservice.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := logservice.LoadReport{Boot: e.stats.Boot, AgeMS: e.settings.LoadLag.Milliseconds()}
	for _, s := range e.samples {
		if now.Sub(s.at) < e.settings.LoadLag {
			break
		}
		report.Running = s.running
	}
	return report
}

func (e *engine) crash() {
	select {
	case e.crashed <- struct{}{}:
	default:
	}
}

func (e *engine) routes(app *fiber.App) {
	app.Post("/v1/chat/completions", e.handleCompletion)
	app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(e.loadReport(time.Now())) })
	app.Get("/_stats", func(c *fiber.Ctx) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		return c.JSON(e.stats)
	})
	app.Put("/_faults", e.setFaults)
	app.Post("/_crash", func(*fiber.Ctx) error {
		e.crash()
		return nil
	})
}

func (e *engine) setFaults(c *fiber.Ctx) error {
	var f faults
	if err := c.BodyParser(&f); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	return c.JSON(f)
}

// crashText is the text that crashes the engine if a message contains it.
const crashText = "crash the engine"

func containsCrashText(messages []message) bool {
	for _, m := range messages {
		if strings.Contains(m.Content, crashText) {
			return true
		}
	}
	return false
}

var errCrashed = errors.New("engine process has crashed")
