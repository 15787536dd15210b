package main

import (
	"maps"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// faults are the failures that the service injects at present.
type faults struct {
	// LoseResponses makes the service close the connection after a request has
	// taken effect, without a response.
	LoseResponses bool `json:"lose_answers"`
}

// stats are the counters of the service since its start.
type stats struct {
	RunsByKey   map[string]int `json:"runs"`
	PeakRunning int            `json:"most"`
	Violations  int            `json:"violations"`
	Requests    int            `json:"requests"`
}

type server struct {
	settings  serviceSettings
	mu        sync.Mutex
	runsByKey map[string]int
	running   int
	stats     stats
	faults    faults
}

func newServer(s serviceSettings) *server {
	return &server{settings: s, runsByKey: map[string]int{}}
}

func (s *server) routes(app *fiber.App) {
	app.Get("/_stats", s.getStats)
	app.Put("/_faults", s.setFaults)
	app.All("/*", s.handleRequest)
}

// response is the body of a response. Key and Runs are the idempotency key of the
// request and the number of times that it has run.
type response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Runs    int    `json:"runs,omitempty"`
	Body    string `json:"body,omitempty"`
}

func (s *server) handleRequest(c *fiber.Ctx) error {
	s.startRequest()
	defer s.endRequest()
	time.Sleep(s.settings.WorkTime)
	resp := response{
		Service: s.settings.ID, Method: c.Method(), Path: c.Path(),
		Key: c.Get("Idempotency-Key"), Body: string(c.Body()),
	}
	var loseResponse bool
	resp.Runs, loseResponse = s.recordRun(resp.Key)
	if loseResponse {
		return c.Context().Conn().Close()
	}
	return c.JSON(resp)
}

func (s *server) startRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.stats.Requests++
	s.stats.PeakRunning = max(s.stats.PeakRunning, s.running)
	if s.settings.Capacity > 0 && s.running > s.settings.Capacity {
		s.stats.Violations++
	}
}

func (s *server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// recordRun counts a run of a key. It returns the number of runs of the key so
// far, and whether the response is to be lost. An empty key is not counted.
func (s *server) recordRun(key string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		return 0, s.faults.LoseResponses
	}
	s.runsByKey[key]++
	return s.runsByKey[key], s.faults.LoseResponses
}

func (s *server) getStats(c *fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.stats
	result.RunsByKey = maps.Clone(s.runsByKey)
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
