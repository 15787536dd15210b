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

// faults are the failures that are switched on at present.
type faults struct {
	// Away makes every call fail.
	Away bool `json:"away"`
	// LoseAnswers makes appends take effect and fail.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// server is the log service.
type server struct {
	settings logSettings
	limiter  *rate.Limiter
	mu       sync.Mutex
	streams  map[string]*stream
	faults   faults
}

func newServer(s logSettings) *server {
	limit := rate.Inf
	if s.Rate > 0 {
		limit = rate.Limit(s.Rate)
	}
	return &server{
		settings: s,
		limiter:  rate.NewLimiter(limit, max(s.Rate/10, 1)),
		streams:  map[string]*stream{},
	}
}

func (s *server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[name] == nil {
		s.streams[name] = &stream{}
	}
	return s.streams[name]
}

func (s *server) current() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *server) routes(app *fiber.App) {
	app.Post("/streams/:name/records", s.guard, s.append)
	app.Get("/streams/:name/records", s.guard, s.read)
	app.Put("/faults", s.setFaults)
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
}

// guard applies the delay and the outage.
func (s *server) guard(c *fiber.Ctx) error {
	f := s.current()
	time.Sleep(s.settings.Delay + time.Duration(f.DelayMS)*time.Millisecond)
	if f.Away {
		return fiber.NewError(fiber.StatusServiceUnavailable, "the log is away")
	}
	return c.Next()
}

func (s *server) append(c *fiber.Ctx) error {
	if err := s.limiter.Wait(c.Context()); err != nil {
		return fiber.NewError(fiber.StatusTooManyRequests, err.Error())
	}
	data := append([]byte{}, c.Body()...)
	offset := s.stream(c.Params("name")).add(time.Now(), data)
	if s.current().LoseAnswers {
		return fiber.NewError(fiber.StatusGatewayTimeout, "the answer was lost")
	}
	return c.JSON(logservice.Appended{Offset: offset})
}

func (s *server) read(c *fiber.Ctx) error {
	from, err := strconv.ParseUint(c.Query("from", "1"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "from is not an offset")
	}
	most := c.QueryInt("max", logservice.MaxPage)
	deadline := time.Now().Add(time.Duration(c.QueryInt("wait_ms", 0)) * time.Millisecond)
	st := s.stream(c.Params("name"))
	for {
		if s.settings.Keep > 0 {
			st.trim(time.Now().Add(-s.settings.Keep))
		}
		page, changed := st.page(core.Offset(from), most)
		left := time.Until(deadline)
		if len(page.Records) > 0 || left <= 0 {
			return c.JSON(page)
		}
		select {
		case <-changed:
		case <-time.After(left):
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
