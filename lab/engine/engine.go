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

// faults are the failures that are switched on at present.
type faults struct {
	// TruncateAfter cuts streams after a number of tokens; zero cuts none.
	TruncateAfter int `json:"truncate_after"`
	// Cross answers under the id of another request.
	Cross bool `json:"cross"`
	// StallAfter stops streams without closing them after a number of tokens.
	StallAfter int `json:"stall_after"`
	// Repeat sends every token twice.
	Repeat bool `json:"repeat"`
}

// stats is what an engine has counted since the start of the program.
type stats struct {
	Boot       string `json:"boot"`
	Boots      int    `json:"boots"`
	Running    int    `json:"running"`
	Most       int    `json:"most"`
	Violations int    `json:"violations"`
	Requests   int    `json:"requests"`
	Cancelled  int    `json:"cancelled"`
	Prompt     int    `json:"prompt_tokens"`
	Cached     int    `json:"cached_tokens"`
}

// sample is the load at a time, for reports that lag.
type sample struct {
	at      time.Time
	boot    string
	running int
}

type engine struct {
	id       string
	address  string
	settings engineSettings
	crashed  chan struct{}

	mu      sync.Mutex
	booted  time.Time
	stats   stats
	cache   cache
	faults  faults
	samples []sample
}

func newEngine(id, address string, s engineSettings) *engine {
	return &engine{id: id, address: address, settings: s, crashed: make(chan struct{}, 1)}
}

// run serves process after process until the program stops: each crash ends
// one and, after a pause, the next one begins.
func (e *engine) run(ctx context.Context) error {
	for {
		ln, err := listener.Listen(e.address)
		if err != nil {
			return err
		}
		e.boot(time.Now())
		app := daemon.App()
		e.routes(app)
		go func() { _ = app.Listener(ln) }()
		select {
		case <-ctx.Done():
			_ = ln.Close()
			ln.Cut()
			return nil
		case <-e.crashed:
		}
		_ = ln.Close()
		ln.Cut()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(e.settings.Down):
		}
	}
}

func (e *engine) boot(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.booted = now
	if e.settings.Warm && e.stats.Boots == 0 {
		e.booted = now.Add(-e.settings.Ramp)
	}
	e.stats.Boot = uuid.NewString()[:8]
	e.stats.Boots++
	e.stats.Running = 0
	e.cache = cache{memory: e.settings.Memory}
	e.samples = nil
}

// limit returns what the engine bears now.
func (e *engine) limit(now time.Time) int {
	age := now.Sub(e.booted)
	if age >= e.settings.Ramp {
		return e.settings.Bear
	}
	grown := float64(e.settings.Bear-e.settings.Cold) * float64(age) / float64(e.settings.Ramp)
	return e.settings.Cold + int(grown)
}

// begin counts a request in. It returns the boot under which it runs.
func (e *engine) begin(now time.Time, chain []block) (boot string, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	e.stats.Running++
	e.stats.Most = max(e.stats.Most, e.stats.Running)
	if e.stats.Running > e.limit(now) {
		e.stats.Violations++
	}
	e.sampleLocked(now)
	cached = e.cache.lookup(chain)
	for _, b := range chain {
		e.stats.Prompt += b.tokens
	}
	e.stats.Cached += cached
	return e.stats.Boot, cached
}

// end counts a request out.
func (e *engine) end(now time.Time, boot string, cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if boot != e.stats.Boot {
		return
	}
	e.stats.Running--
	if cancelled {
		e.stats.Cancelled++
	}
	e.sampleLocked(now)
}

// maxSamples bounds the memory of load samples.
const maxSamples = 4096

func (e *engine) sampleLocked(now time.Time) {
	e.samples = append(e.samples, sample{now, e.stats.Boot, e.stats.Running})
	if len(e.samples) > maxSamples {
		e.samples = append([]sample{}, e.samples[maxSamples/2:]...)
	}
}

// report returns the load as it was the lag ago.
func (e *engine) report(now time.Time) logservice.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := logservice.Load{Boot: e.stats.Boot, AgeMS: e.settings.Lag.Milliseconds()}
	for _, s := range e.samples {
		if now.Sub(s.at) < e.settings.Lag {
			break
		}
		load.Running = s.running
	}
	return load
}

func (e *engine) crash() {
	select {
	case e.crashed <- struct{}{}:
	default:
	}
}

func (e *engine) routes(app *fiber.App) {
	app.Post("/v1/chat/completions", e.complete)
	app.Get("/load", func(c *fiber.Ctx) error { return c.JSON(e.report(time.Now())) })
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

// CrashText in a message makes the engine that runs it crash.
const CrashText = "crash the engine"

func crashes(messages []message) bool {
	for _, m := range messages {
		if strings.Contains(m.Content, CrashText) {
			return true
		}
	}
	return false
}

var errStopped = errors.New("the engine's process has ended")
