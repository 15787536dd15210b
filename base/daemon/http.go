package daemon

import (
	"strings"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
)

// App returns an HTTP server that shows errors as JSON.
func App() *fiber.App {
	return fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Strings of a request may be kept after its end.
		Immutable: true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var known *fiber.Error
			if errors.As(err, &known) {
				status = known.Code
			}
			return c.Status(status).JSON(fiber.Map{"error": err.Error()})
		},
	})
}

// shutdownTimeout is how long a stand-in waits for open requests.
const shutdownTimeout = 200 * time.Millisecond

// Serve runs an HTTP server until the process is told to stop.
func (p Process) Serve(address string, app *fiber.App) error {
	failed := make(chan error, 1)
	go func() { failed <- app.Listen(address) }()
	p.Log.Info("listener_started", zap.String("address", address))
	select {
	case err := <-failed:
		return wrap.Err(err, "listen")
	case <-p.Context.Done():
		return stopError(app.ShutdownWithTimeout(shutdownTimeout))
	}
}

// stopError hides that connections were still open at the end.
func stopError(err error) error {
	if err != nil && strings.Contains(err.Error(), "deadline") {
		return nil
	}
	return err
}

func checkExample(run string) string {
	return strings.Replace(run, " run ", " check ", 1)
}
