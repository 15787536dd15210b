package main

import (
	"maps"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// faults are the failures that are switched on at present.
type faults struct {
	// LoseAnswers makes requests take effect and close the connection.
	LoseAnswers bool `json:"lose_answers"`
}

// stats is what the service has counted.
type stats struct {
	Runs       map[string]int `json:"runs"`
	Most       int            `json:"most"`
	Violations int            `json:"violations"`
	Requests   int            `json:"requests"`
}

type server struct {
	settings serviceSettings
	mu       sync.Mutex
	runs     map[string]int
	running  int
	stats    stats
	faults   faults
}

func newServer(s serviceSettings) *server {
	return &server{settings: s, runs: map[string]int{}}
}

func (s *server) routes(app *fiber.App) {
	app.Get("/_stats", s.getStats)
	app.Put("/_faults", s.setFaults)
	app.All("/*", s.serve)
}

// answer is what a request gets back.
type answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Runs    int    `json:"runs,omitempty"`
	Body    string `json:"body,omitempty"`
}

func (s *server) serve(c *fiber.Ctx) error {
	s.begin()
	defer s.end()
	time.Sleep(s.settings.Work)
	a := answer{
		Service: s.settings.ID, Method: c.Method(), Path: c.Path(),
		Key: c.Get("Idempotency-Key"), Body: string(c.Body()),
	}
	var lose bool
	a.Runs, lose = s.count(a.Key)
	if lose {
		return c.Context().Conn().Close()
	}
	return c.JSON(a)
}

func (s *server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.stats.Requests++
	s.stats.Most = max(s.stats.Most, s.running)
	if s.settings.Bear > 0 && s.running > s.settings.Bear {
		s.stats.Violations++
	}
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *server) count(key string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		return 0, s.faults.LoseAnswers
	}
	s.runs[key]++
	return s.runs[key], s.faults.LoseAnswers
}

func (s *server) getStats(c *fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.stats
	result.Runs = maps.Clone(s.runs)
	return c.JSON(result)
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
