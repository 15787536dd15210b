package app

import (
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"camphorpulley.org/base/listener"
)

const (
	// maxOperatorConns bounds the connections of operators, who are few.
	maxOperatorConns = 64
	// maxOperatorBody bounds a request's body. Requests of operators have none.
	maxOperatorBody = 4 << 10
	// operatorTimeout bounds reading a request and writing a response, and operatorIdle is how
	// long a connection is kept between two requests. Both are far above what a scraper needs.
	operatorTimeout = 30 * time.Second
	operatorIdle    = 10 * time.Minute
)

// serveOperators serves the application for operators until the listener fails. Above
// maxOperatorConns, the connection that has had no request for the longest time is closed.
func serveOperators(app *fiber.App, ln net.Listener) error {
	s := app.Server()
	s.MaxRequestBodySize = maxOperatorBody
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = operatorTimeout, operatorTimeout, operatorIdle
	s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if counted, ok := c.(*listener.Counted); ok && state == fasthttp.StateIdle {
			counted.Entry.SetIdle()
		}
	}
	return app.Listener(listener.Counting{Listener: ln, Bound: listener.NewBound(maxOperatorConns)})
}
