// Package frontend is the HTTP API of the program camphorpulley for callers: chat
// completions, the list of models, applications by path, and the health of the
// router. Package gateway is its counterpart in the program
// camphorpulley-platform.
package frontend

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

	"camphorpulley.org/base/listener"
	"camphorpulley.org/base/logs"
	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/burn"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/core/table"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/exchange"
)

// Server handles the HTTP requests of callers. Its exported fields must be set
// before use.
type Server struct {
	Node      *node.Node
	Forwarder *exchange.Forwarder
	Log       *zap.Logger
	Burn      *table.Cell[burn.Table]
	// Ready returns nil if the router can serve, else the reason why not.
	Ready func() error
	// Memory bounds the requests that are held, and Conns the connections of callers; nil if
	// nothing does.
	Memory *budget.Pool
	Conns  *listener.Bound
	// ShuttingDown is true once the router has begun to shut down.
	ShuttingDown atomic.Bool
}

// App returns the HTTP application for callers. It refuses request bodies
// larger than maxBody bytes.
func (s *Server) App(maxBody int) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxBody,
		ErrorHandler:          errorHandler,
		// Bodies are read by readBody, within the budget.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               16 << 10,
		IdleTimeout:                  time.Minute,
	})
	app.Use(s.readBody(maxBody))
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", s.handleReady)
	app.Get("/v1/models", s.handleModels)
	app.Post("/v1/chat/completions", s.handleChat)
	app.All("/v1/*", func(c *fiber.Ctx) error {
		return refuse(c, invalidRequest(404, "unknown_path", "the API has no such path"))
	})
	app.All("/*", s.handleApplication)
	return app
}

// errorHandler writes errors of the HTTP library as refusals.
func errorHandler(c *fiber.Ctx, err error) error {
	status := fiber.StatusBadRequest
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	code := "bad_request"
	if status == fiber.StatusRequestEntityTooLarge {
		code = "body_too_large"
	}
	return refuse(c, invalidRequest(status, code, err.Error()))
}

func (s *Server) handleReady(c *fiber.Ctx) error {
	if s.ShuttingDown.Load() {
		return c.Status(503).SendString("leaving\n")
	}
	if err := s.Ready(); err != nil {
		return c.Status(503).SendString(err.Error() + "\n")
	}
	return c.SendString("ready\n")
}

// modelList is the list of models in the format of the API.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) handleModels(c *fiber.Ctx) error {
	sheet, _ := s.Node.Sheet()
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

// admit checks the length, path and bearer token of a request, and returns the
// sheet in force and the account.
func (s *Server) admit(c *fiber.Ctx) (config.Sheet, account.Account, *core.Refusal) {
	sheet, _ := s.Node.Sheet()
	if refusal := checkAmbiguity(c); refusal != nil {
		return sheet, account.Account{}, refusal
	}
	a, refusal := authenticate(c, sheet)
	return sheet, a, refusal
}

func (s *Server) handleChat(c *fiber.Ctx) error {
	sheet, a, refusal := s.admit(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	call, refusal := parseChat(c, time.Now(), a, sheet)
	if refusal != nil {
		return refuse(c, refusal)
	}
	return s.serve(c, call, s.Forwarder.Forward)
}

func (s *Server) handleApplication(c *fiber.Ctx) error {
	sheet, a, refusal := s.admit(c)
	if refusal != nil {
		return refuse(c, refusal)
	}
	p, ok := pool.ForPath(sheet.Pools, path(c))
	if !ok {
		return refuse(c, invalidRequest(404, "unknown_path", "no pool serves the path"))
	}
	call, refusal := parseApplication(c, time.Now(), a, p)
	if refusal != nil {
		return refuse(c, refusal)
	}
	forward := s.Forwarder.Forward
	if call.AtMostOnce {
		forward = s.Forwarder.ForwardAtMostOnce
	}
	return s.serve(c, call, forward)
}

type forwardFunc func(context.Context, *exchange.Call) (*exchange.Response, *core.Refusal)

// serve forwards a call and writes the response to the caller: an event stream
// or a long body as it arrives, a short body at once.
func (s *Server) serve(c *fiber.Ctx, call *exchange.Call, forward forwardFunc) error {
	s.Forwarder.Begin()
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	resp, refusal := forward(ctx, call)
	if refusal != nil {
		cancel()
		s.recordRefusal(call, refusal)
		s.Forwarder.End()
		return refuse(c, refusal)
	}
	s.recordObjective(call, burn.Accepted, true)
	s.recordStartLatency(call, resp)
	c.Status(resp.Status)
	for _, h := range resp.Headers {
		c.Set(h.Name, h.Value)
	}
	if resp.ContentType != "" {
		c.Set(fiber.HeaderContentType, resp.ContentType)
	}
	c.Set(headerRequest, call.ID)
	if resp.Replayed {
		c.Set("X-Replayed", "true")
	}
	switch {
	case resp.IsEventStream():
		s.streamEvents(ctx, cancel, c, call, resp, takeHolding(c))
		return nil
	case resp.Complete:
		cancel()
		s.recordEnd(call, nil)
		if call.Method == fiber.MethodHead {
			c.Response().Header.SetContentLength(resp.Length)
		}
		return c.Send(resp.Body)
	default:
		c.Context().SetBodyStream(&trackedBody{server: s, call: call, cancel: cancel, body: resp.Reader(), holding: takeHolding(c)}, resp.Length)
		return nil
	}
}

// streamEvents writes the events of a response to the caller as they arrive.
func (s *Server) streamEvents(ctx context.Context, cancel context.CancelFunc, c *fiber.Ctx, call *exchange.Call, resp *exchange.Response, holding *budget.Holding) {
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer holding.Release()
		err := resp.WriteEvents(ctx, w)
		var truncated *exchange.TruncatedError
		if errors.As(err, &truncated) {
			// An error event in place of the end mark shows the caller why the
			// stream ends.
			if data, fault := json.Marshal(newErrorBody(truncated.Refusal)); fault == nil {
				_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
				_ = w.Flush()
			}
		}
		s.recordEnd(call, err)
	})
}

// recordStartLatency records the time until the response started, and for calls
// that asked for a stream whether it met the objective. Replayed responses don't
// count.
func (s *Server) recordStartLatency(call *exchange.Call, resp *exchange.Response) {
	if resp.Replayed {
		return
	}
	s.Forwarder.Metrics.FirstByte(call.Pool.Name, resp.StartLatency)
	if call.Stream {
		s.recordObjective(call, burn.FirstToken, resp.StartLatency <= burn.FirstTokenLimit)
	}
}

// recordRefusal counts and logs a refusal. One with status 5xx or 429 counts
// against the objective for accepted requests.
func (s *Server) recordRefusal(call *exchange.Call, r *core.Refusal) {
	s.Forwarder.Metrics.Request(call.Pool.Name, r.Code)
	if r.Status >= 500 || r.Status == 429 {
		s.recordObjective(call, burn.Accepted, false)
	}
	s.Log.Info("request_refused", append(logFields(call), zap.String("code", r.Code),
		zap.String("outcome", r.Certainty.String()), zap.Int("status", r.Status))...)
}

// recordEnd counts and logs how the response to a request ended: whole,
// truncated, or because the caller disconnected. It calls Forwarder.End.
func (s *Server) recordEnd(call *exchange.Call, err error) {
	defer s.Forwarder.End()
	var gone *exchange.CallerGoneError
	outcome := "whole"
	switch {
	case errors.As(err, &gone):
		outcome = "caller_gone"
	case err != nil:
		outcome = "cut"
		s.recordObjective(call, burn.WholeAnswer, false)
		s.Log.Warn("response_truncated", append(logFields(call), logs.Err(err))...)
	default:
		s.recordObjective(call, burn.WholeAnswer, true)
	}
	s.Forwarder.Metrics.Request(call.Pool.Name, outcome)
	s.Log.Debug("request_finished", append(logFields(call), zap.String("outcome", outcome),
		zap.Duration("took", time.Since(call.StartedAt)))...)
}

func logFields(call *exchange.Call) []zap.Field {
	return []zap.Field{
		zap.String("request", call.ID), zap.Uint64("chat", uint64(call.AffinityKey)),
		zap.String("account", string(call.Account.Name)), zap.String("pool", string(call.Pool.Name)),
	}
}

func (s *Server) recordObjective(call *exchange.Call, o burn.Objective, good bool) {
	s.Burn.Do(table.Hold{}, func(_ table.Hold, t *burn.Table) {
		t.Record(time.Now(), burn.Series{Account: call.Account.Name, Pool: call.Pool.Name, Objective: o}, good)
	})
}
