// Package gateway takes the requests of callers of a fleet. It uses the HTTP
// server of the standard library, which ends a request's context when its
// caller leaves.
package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/relay"
)

// Said is what a caller's request says of itself.
type Said struct {
	fleet.Ask
	// After is the number of the last event that the caller has; HasAfter says
	// that it told one.
	After    int
	HasAfter bool
}

// Dialect reads the heads of callers' requests and writes those of refusals.
type Dialect interface {
	Incoming(r *http.Request) Said
	// Refusal sets header fields of a refusal. After is when the caller should
	// come back; zero gives no advice.
	Refusal(h http.Header, id string, after time.Duration)
}

// Counter counts requests by their end.
type Counter interface {
	Request(pool core.Pool, outcome string)
	FirstByte(pool core.Pool, d time.Duration)
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	Fleet   *fleet.Fleet
	Relay   *relay.Server
	Dialect Dialect
	Log     *zap.Logger
	Count   Counter
	// Away reports whether callers should open new connections, which the
	// balancer then leads elsewhere; nil never does.
	Away func() bool
	// Closing is set shortly before the connections are closed. What comes then
	// isn't passed on: its connection may close under it.
	Closing atomic.Bool
	// Running is the number of requests in hand.
	Running atomic.Int64
}

// defaultBody bounds a body in bytes until a configuration is known.
const defaultBody = 4 << 20

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Running.Add(1)
	defer g.Running.Add(-1)
	arrived := time.Now()
	if g.Away != nil && g.Away() {
		w.Header().Set("Connection", "close")
	}
	said := g.Dialect.Incoming(r)
	if g.Closing.Load() {
		g.refuse(w, said.ID, "", &core.Refusal{
			Status: http.StatusServiceUnavailable, Certainty: core.NotRun, Code: "leaving", Message: "the router is leaving",
		})
		return
	}
	said.Host, said.Path = host(r.Host), path(r.RequestURI)
	body, refusal := g.read(w, r)
	if refusal != nil {
		g.refuse(w, said.ID, "", refusal)
		return
	}
	said.Content = digest(r, said, body)
	request, refusal := g.Fleet.Admit(arrived, said.Ask)
	if refusal != nil {
		g.refuse(w, said.ID, request.Pool.Name, refusal)
		return
	}
	c := &relay.Call{
		Request: request, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: body, HasBody: r.ContentLength != 0, After: said.After, HasAfter: said.HasAfter,
	}
	out := &caller{w: w, arrived: arrived}
	err := g.Relay.Serve(r.Context(), c, out)
	g.ended(r.Context(), w, c, out, err)
}

// ended tells the caller, the log and the counters how a request ended.
func (g *Gateway) ended(ctx context.Context, w http.ResponseWriter, c *relay.Call, out *caller, err error) {
	var refusal *core.Refusal
	outcome := "served"
	switch {
	case ctx.Err() != nil:
		outcome = "caller_left"
	case errors.As(err, &refusal) && !out.begun:
		g.refuse(w, c.ID, c.Pool.Name, refusal)
		return
	case err != nil:
		outcome = "broken"
	case out.status >= http.StatusBadRequest:
		outcome = "failed"
	}
	g.Count.Request(c.Pool.Name, outcome)
	g.Count.FirstByte(c.Pool.Name, out.first)
	g.Log.Info("request_finished", zap.String("request", c.ID), zap.String("route", c.Route.Name), zap.String("account", string(c.Account.Name)),
		zap.String("pool", string(c.Pool.Name)), zap.Uint64("version", c.Version), zap.String("outcome", outcome),
		zap.Int("status", out.status), zap.Duration("first", out.first), zap.Duration("took", time.Since(out.arrived)), logs.Err(err))
	if outcome == "broken" && out.begun {
		// The connection is cut, so that the answer doesn't look whole.
		panic(http.ErrAbortHandler)
	}
}

// read reads the body, or says why it can't be taken.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request) ([]byte, *core.Refusal) {
	limit := int64(defaultBody)
	if c := g.Fleet.Current(); c != nil && c.Limits.BodyBytes > 0 {
		limit = int64(c.Limits.BodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &core.Refusal{
			Status: http.StatusRequestEntityTooLarge, Certainty: core.NotRun,
			Code: "body_too_large", Message: "the body is larger than the limit of " + strconv.FormatInt(limit, 10) + " bytes",
		}
	case err != nil:
		return nil, &core.Refusal{
			Status: http.StatusBadRequest, Certainty: core.NotRun, Code: "body_unreadable", Message: "the body could not be read",
		}
	}
	return body, nil
}

// refuse tells the caller why it gets no answer.
func (g *Gateway) refuse(w http.ResponseWriter, id string, pool core.Pool, refusal *core.Refusal) {
	after := time.Duration(0)
	if refusal.Certainty == core.NotRun && refusal.Status == http.StatusServiceUnavailable {
		after = g.Fleet.ComeBack()
	}
	g.Log.Warn("request_refused", zap.String("request", id), zap.Int("status", refusal.Status), zap.String("code", refusal.Code),
		zap.String("certainty", refusal.Certainty.String()), zap.String("why", refusal.Message), zap.Duration("after", after))
	g.Count.Request(pool, "refused")
	h := w.Header()
	h.Set("Content-Type", "application/json")
	g.Dialect.Refusal(h, id, after)
	w.WriteHeader(refusal.Status)
	body, err := json.Marshal(map[string]string{"error": refusal.Message, "code": refusal.Code, "certainty": refusal.Certainty.String()})
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		g.Log.Info("refusal_write_failed", zap.String("request", id), logs.Err(err))
	}
}

func host(h string) string {
	if name, _, ok := strings.Cut(h, ":"); ok {
		return name
	}
	return h
}

func path(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// digest names the content of a request, whoever sends it again.
func digest(r *http.Request, s Said, body []byte) core.Digest {
	d := xxhash.New()
	for _, text := range []string{r.Method, r.RequestURI, s.Key} {
		_, _ = d.WriteString(text + "\x00")
	}
	_, _ = d.Write(body)
	return core.Digest(d.Sum64())
}
