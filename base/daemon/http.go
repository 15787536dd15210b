package daemon

import (
	"strings"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
)

// NewApp returns an HTTP server that answers a failed request with the JSON
// {"error": text}: with the status of a fiber.Error, or else 500.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Handlers may keep strings of a request after it has ended.
		Immutable: true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var fiberErr *fiber.Error
			if errors.As(err, &fiberErr) {
				status = fiberErr.Code
			}
			return c.Status(status).JSON(fiber.Map{"error": err.Error()})
		},
	})
}

// shutdownTimeout is how long Serve waits for open requests after the first
// signal.
const shutdownTimeout = 200 * time.Millisecond

// Serve runs an HTTP server on an address until p.Context is done. Requests that
// are open after shutdownTimeout are abandoned without an error.
func (p Process) Serve(address string, app *fiber.App) error {
	failed := make(chan error, 1)
	go func() { failed <- app.Listen(address) }()
	p.Log.Info("listener_started", zap.String("address", address))
	select {
	case err := <-failed:
		return wrap.Err(err, "listen")
	case <-p.Context.Done():
		return ignoreDeadline(app.ShutdownWithTimeout(shutdownTimeout))
	}
}

// ignoreDeadline returns nil for the error of a shutdown that reached its
// deadline with connections still open, and any other error unchanged.
func ignoreDeadline(err error) error {
	if err != nil && strings.Contains(err.Error(), "deadline") {
		return nil
	}
	return err
}
