package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/burn"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/exchange"
)

// Front serves callers.
type Front struct {
	Node     *node.Node
	Exchange *exchange.Forwarder
	Log      *zap.Logger
	Burn     *table.Cell[burn.Table]
	// Ready reports whether the router can serve.
	Ready func() error
	// Leaving is set once the router is shutting down.
	Leaving atomic.Bool
}

// App returns the HTTP server for callers. Body is the largest request body in
// bytes.
func (f *Front) App(body int) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             body,
		ErrorHandler:          showError,
		StreamRequestBody:     false,
		ReadBufferSize:        16 << 10,
		IdleTimeout:           time.Minute,
	})
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", f.ready)
	app.Get("/v1/models", f.models)
	app.Post("/v1/chat/completions", f.chat)
	app.All("/v1/*", func(c *fiber.Ctx) error {
		return refuse(c, rejected(404, "unknown_path", "the API has no such path"))
	})
	app.All("/*", f.service)
	return app
}

// showError shows errors of the HTTP library as refusals.
func showError(c *fiber.Ctx, err error) error {
	status := fiber.StatusBadRequest
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	code := "bad_request"
	if status == fiber.StatusRequestEntityTooLarge {
		code = "body_too_large"
	}
	return refuse(c, rejected(status, code, err.Error()))
}

func (f *Front) ready(c *fiber.Ctx) error {
	if f.Leaving.Load() {
		return c.Status(503).SendString("leaving\n")
	}
	if err := f.Ready(); err != nil {
		return c.Status(503).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// modelList is the list of models in the form of the API.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (f *Front) models(c *fiber.Ctx) error {
	sheet, _ := f.Node.Sheet()
	if _, refusal := authenticate(c, sheet); refusal != nil {
		return refuse(c, refusal)
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, p := range sheet.Pools {
		for _, m := range p.Models {
			list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: string(p.Name)})
		}
	}
	return c.JSON(list)
}

// admit returns the sheet in force and the account of a request that is sound
// in its framing.
func (f *Front) admit(c *fiber.Ctx) (config.Sheet, account.Account, *core.Refusal) {
	sheet, _ := f.Node.Sheet()
	if refusal := checkMessage(c); refusal != nil {
		return sheet, account.Account{}, refusal
	}
	a, refusal := authenticate(c, sheet)
	return sheet, a, refusal
}

func (f *Front) chat(c *fiber.Ctx) error {
	sheet, a, refusal := f.admit(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	call, refusal := parseChat(c, time.Now(), a, sheet)
	if refusal != nil {
		return refuse(c, refusal)
	}
	return f.serve(c, call, f.Exchange.Forward)
}

func (f *Front) service(c *fiber.Ctx) error {
	sheet, a, refusal := f.admit(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	p, ok := pool.ForPath(sheet.Pools, path(c))
	if !ok {
		return refuse(c, rejected(404, "unknown_path", "no pool serves the path"))
	}
	call, refusal := parseService(c, time.Now(), a, p)
	if refusal != nil {
		return refuse(c, refusal)
	}
	open := f.Exchange.Forward
	if call.AtMostOnce {
		open = f.Exchange.ForwardAtMostOnce
	}
	return f.serve(c, call, open)
}

type opener func(context.Context, *exchange.Call) (*exchange.Response, *core.Refusal)

// serve runs a request and shows the answer.
func (f *Front) serve(c *fiber.Ctx, call *exchange.Call, open opener) error {
	f.Exchange.Begin()
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	a, refusal := open(ctx, call)
	if refusal != nil {
		cancel()
		f.refused(call, refusal)
		f.Exchange.End()
		return refuse(c, refusal)
	}
	f.count(call, burn.Accepted, true)
	f.firstByte(call, a)
	c.Status(a.Status)
	for _, h := range a.Header {
		c.Set(h.Name, h.Value)
	}
	if a.ContentType != "" {
		c.Set(fiber.HeaderContentType, a.ContentType)
	}
	c.Set(headerRequest, call.ID)
	if a.Replayed {
		c.Set("X-Replayed", "true")
	}
	switch {
	case a.IsEventStream():
		f.stream(ctx, cancel, c, call, a)
		return nil
	case a.Complete:
		cancel()
		f.ended(call, nil)
		return c.Send(a.Body)
	default:
		c.Context().SetBodyStream(&watched{front: f, call: call, cancel: cancel, body: a.Reader()}, a.Length)
		return nil
	}
}

// stream passes the events of an answer on while the caller reads them.
func (f *Front) stream(ctx context.Context, cancel context.CancelFunc, c *fiber.Ctx, call *exchange.Call, a *exchange.Response) {
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		err := a.WriteEvents(ctx, w)
		var cut *exchange.TruncatedError
		if errors.As(err, &cut) {
			// The caller sees no end mark, and why.
			if data, fault := json.Marshal(bodyOf(cut.Refusal)); fault == nil {
				_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
				_ = w.Flush()
			}
		}
		f.ended(call, err)
	})
}

// firstByte records the time to the first token.
func (f *Front) firstByte(call *exchange.Call, a *exchange.Response) {
	if a.Replayed {
		return
	}
	f.Exchange.Metrics.FirstByte(call.Pool.Name, a.FirstByte)
	if call.Stream {
		f.count(call, burn.FirstToken, a.FirstByte <= burn.FirstTokenLimit)
	}
}

// refused records a refusal.
func (f *Front) refused(call *exchange.Call, r *core.Refusal) {
	f.Exchange.Metrics.Request(call.Pool.Name, r.Code)
	if r.Status >= 500 || r.Status == 429 {
		f.count(call, burn.Accepted, false)
	}
	f.Log.Info("request_refused", append(fields(call), zap.String("code", r.Code),
		zap.String("outcome", r.Certainty.String()), zap.Int("status", r.Status))...)
}

// ended records the end of a request that was answered.
func (f *Front) ended(call *exchange.Call, err error) {
	defer f.Exchange.End()
	var gone *exchange.CallerGoneError
	outcome := "whole"
	switch {
	case errors.As(err, &gone):
		outcome = "caller_gone"
	case err != nil:
		outcome = "cut"
		f.count(call, burn.Whole, false)
		f.Log.Warn("response_truncated", append(fields(call), logs.Err(err))...)
	default:
		f.count(call, burn.Whole, true)
	}
	f.Exchange.Metrics.Request(call.Pool.Name, outcome)
	f.Log.Debug("request_finished", append(fields(call), zap.String("outcome", outcome),
		zap.Duration("took", time.Since(call.StartedAt)))...)
}

func fields(call *exchange.Call) []zap.Field {
	return []zap.Field{
		zap.String("request", call.ID), zap.Uint64("chat", uint64(call.AffinityKey)),
		zap.String("account", string(call.Account.Name)), zap.String("pool", string(call.Pool.Name)),
	}
}

func (f *Front) count(call *exchange.Call, o burn.Objective, good bool) {
	f.Burn.Do(table.Hold{}, func(_ table.Hold, t *burn.Table) {
		t.Record(time.Now(), burn.Series{Account: call.Account.Name, Pool: call.Pool.Name, Objective: o}, good)
	})
}
