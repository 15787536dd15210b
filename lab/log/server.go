package main

import (
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"golang.org/x/time/rate"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/core"
)

// faults are the failures that the service injects at present.
type faults struct {
	// Unavailable makes every append and read fail with status 503.
	Unavailable bool `json:"away"`
	// LoseResponses makes appends take effect and then fail with status 504.
	LoseResponses bool `json:"lose_answers"`
	// DelayMS is added to each append and read, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// server holds the streams of the log service by name.
type server struct {
	settings logSettings
	limiter  *rate.Limiter
	mu       sync.Mutex
	streams  map[string]*stream
	faults   faults
}

func newServer(s logSettings) *server {
	limit := rate.Inf
	if s.AppendRate > 0 {
		limit = rate.Limit(s.AppendRate)
	}
	return &server{
		settings: s,
		limiter:  rate.NewLimiter(limit, max(s.AppendRate/10, 1)),
		streams:  map[string]*stream{},
	}
}

// stream returns the stream with a name, and creates it if it does not exist.
func (s *server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[name] == nil {
		s.streams[name] = &stream{}
	}
	return s.streams[name]
}

func (s *server) currentFaults() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *server) routes(app *fiber.App) {
	app.Post("/streams/:name/records", s.injectFaults, s.appendRecord)
	app.Get("/streams/:name/records", s.injectFaults, s.readRecords)
	app.Put("/faults", s.setFaults)
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
}

// injectFaults delays a call, and rejects it during a simulated outage.
func (s *server) injectFaults(c *fiber.Ctx) error {
	f := s.currentFaults()
	time.Sleep(s.settings.CallDelay + time.Duration(f.DelayMS)*time.Millisecond)
	if f.Unavailable {
		return fiber.NewError(fiber.StatusServiceUnavailable, "log service is unavailable (fault away is set)")
	}
	return c.Next()
}

func (s *server) appendRecord(c *fiber.Ctx) error {
	if err := s.limiter.Wait(c.Context()); err != nil {
		return fiber.NewError(fiber.StatusTooManyRequests, err.Error())
	}
	data := append([]byte{}, c.Body()...)
	offset := s.stream(c.Params("name")).append(time.Now(), data)
	if s.currentFaults().LoseResponses {
		return fiber.NewError(fiber.StatusGatewayTimeout, "append took effect but its response is lost (fault lose_answers is set)")
	}
	return c.JSON(logservice.AppendResponse{Offset: offset})
}

func (s *server) readRecords(c *fiber.Ctx) error {
	from, err := strconv.ParseUint(c.Query("from", "1"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "query parameter from is not an offset")
	}
	limit := c.QueryInt("max", logservice.MaxPageSize)
	deadline := time.Now().Add(time.Duration(c.QueryInt("wait_ms", 0)) * time.Millisecond)
	stream := s.stream(c.Params("name"))
	for {
		if s.settings.Retention > 0 {
			stream.dropBefore(time.Now().Add(-s.settings.Retention))
		}
		page, appended := stream.page(core.Offset(from), limit)
		remaining := time.Until(deadline)
		if len(page.Records) > 0 || remaining <= 0 {
			return c.JSON(page)
		}
		select {
		case <-appended:
		case <-time.After(remaining):
		}
	}
}

func (s *server) setFaults(c *fiber.Ctx) error {
	var f faults
	if err := c.BodyParser(&f); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	return c.JSON(f)
}
