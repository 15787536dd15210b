package app

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"camphorpulley.org/base/daemon"
	"camphorpulley.org/base/operator"
	"camphorpulley.org/core/burn"
	"camphorpulley.org/core/table"
)

// Reasons for which the router is not ready.
var (
	errNoConfiguration = errors.New("no configuration is in force yet")
	errNoInstanceList  = errors.New("the list of instances was not read yet")
	errSeatUnsettled   = errors.New("earlier permits of this seat may still be in use")
)

// ready returns nil if the router can serve, else the reason why not.
func (r *Router) ready() error {
	if _, number := r.node.Sheet(); number == 0 {
		return errNoConfiguration
	}
	if !r.instanceListRead.Load() {
		return errNoInstanceList
	}
	if r.forwarder.Permits && !r.node.CanCoordinate() {
		return errSeatUnsettled
	}
	return nil
}

// operatorApp returns the HTTP application for operators.
func (r *Router) operatorApp() *fiber.App {
	app := daemon.NewApp()
	app.Get("/status", func(c *fiber.Ctx) error { return c.JSON(r.status(time.Now())) })
	app.Get("/burn", func(c *fiber.Ctx) error {
		rows := table.Read(r.front.Burn, table.Hold{}, func(t *burn.Table) []burn.Row { return t.Rows(time.Now()) })
		return c.JSON(rows)
	})
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.Handler()))
	return app
}

func (r *Router) status(now time.Time) operator.Status {
	self := r.node.Settings()
	s, gap, fault := r.node.Configuration()
	sent, received := r.network.Bytes()
	status := operator.Status{
		Router: self.ID, DataCentre: self.DataCentre, Seat: self.Seat, Incarnation: self.Incarnation,
		Revision: s.Revision.Number, AsOf: s.AsOf, Author: s.Revision.Author, Text: string(s.Revision.Text),
		AwaitingSnapshot: gap, RunningRequests: r.forwarder.Running(), BytesSent: sent, BytesReceived: received,
		Upstreams: r.node.UpstreamInfos(now),
	}
	if fault != nil {
		status.SheetError = fault.Error()
	}
	for _, m := range r.node.Routers() {
		p := operator.Peer{ID: m.ID, DataCentre: m.DataCentre, Seat: m.Seat, Revision: m.Revision, ShuttingDown: m.ShuttingDown}
		if !m.LastSeen.IsZero() {
			p.SinceLastSeenMS = now.Sub(m.LastSeen).Milliseconds()
		}
		p.Seen = !m.LastSeen.IsZero()
		status.Peers = append(status.Peers, p)
	}
	return status
}
