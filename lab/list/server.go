package main

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/core"
)

// server holds the list of instances as a sequence of changes. A change becomes
// visible once the time lag has passed since it was made.
type server struct {
	lag         time.Duration
	mu          sync.Mutex
	changes     []change
	unavailable bool
}

// change puts an instance on the list or removes it.
type change struct {
	madeAt   time.Time
	instance logservice.Instance
	removed  bool
}

func newServer(now time.Time, s settings) *server {
	list := &server{lag: s.List.Lag}
	for _, row := range s.Instances {
		list.changes = append(list.changes, change{
			madeAt: now.Add(-s.List.Lag),
			instance: logservice.Instance{
				ID: row.ID, Role: logservice.Role(row.Role), Pool: core.Pool(row.Pool),
				DataCentre: core.DataCentre(row.DataCentre), Address: row.Address, Seat: core.Seat(row.Seat),
			},
		})
	}
	return list
}

func (s *server) routes(app *fiber.App) {
	app.Get("/instances", s.listInstances)
	app.Put("/instances/:id", s.putInstance)
	app.Delete("/instances/:id", s.removeInstance)
	app.Put("/faults", s.setFaults)
}

func (s *server) listInstances(c *fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return fiber.NewError(fiber.StatusServiceUnavailable, "instance list is unavailable (fault away is set)")
	}
	return c.JSON(logservice.InstanceList{Instances: s.visible(time.Now())})
}

// visible returns the instances that result from the changes older than the
// lag, in order of their ids.
func (s *server) visible(now time.Time) []logservice.Instance {
	byID := map[string]logservice.Instance{}
	for _, ch := range s.changes {
		if now.Sub(ch.madeAt) < s.lag {
			break
		}
		byID[ch.instance.ID] = ch.instance
		if ch.removed {
			delete(byID, ch.instance.ID)
		}
	}
	all := make([]logservice.Instance, 0, len(byID))
	for _, i := range byID {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b logservice.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (s *server) putInstance(c *fiber.Ctx) error {
	var i logservice.Instance
	if err := c.BodyParser(&i); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	i.ID = c.Params("id")
	s.addChange(change{madeAt: time.Now(), instance: i})
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *server) removeInstance(c *fiber.Ctx) error {
	s.addChange(change{madeAt: time.Now(), instance: logservice.Instance{ID: c.Params("id")}, removed: true})
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *server) addChange(ch change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, ch)
}

func (s *server) setFaults(c *fiber.Ctx) error {
	var f struct {
		Unavailable bool `json:"away"`
	}
	if err := c.BodyParser(&f); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	s.unavailable = f.Unavailable
	s.mu.Unlock()
	return c.JSON(f)
}
