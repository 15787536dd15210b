// Package gateway handles the HTTP requests of callers for the program
// camphorpulley-platform (see package cluster); the program camphorpulley uses
// package frontend instead. It reads and admits a request, forwards it with package
// relay, and records the outcome. It relies on net/http and WatchCallers to cancel a
// request's context when the caller disconnects.
package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
	"camphorpulley.org/router/relay"
)

// RequestHeaders holds what a HeaderCodec has parsed from the header of a caller's
// request. The Handler then sets Host, Path, Resuming and Content.
type RequestHeaders struct {
	fleet.CallerRequest
	// LastEventID is the number of the last event that the caller has received.
	// It is valid if HasLastEventID is true.
	LastEventID    int
	HasLastEventID bool
}

// HeaderCodec parses the headers of callers' requests and sets those of refusals.
type HeaderCodec interface {
	// ParseRequest returns the fields that the header of a request holds.
	ParseRequest(r *http.Request) RequestHeaders
	// SetRefusalHeader sets header fields of the refusal of request id. Callers
	// should wait for retryAfter before they try again; zero gives no advice.
	SetRefusalHeader(h http.Header, id string, retryAfter time.Duration)
}

// Metrics counts requests.
type Metrics interface {
	// Request counts a finished request by its outcome. Pool is empty if the
	// request was refused before a pool was chosen.
	Request(pool core.Pool, outcome string)
	// FirstByte records the time from a request's arrival until the header of its
	// response, which holds the first byte, is written; zero if none was written.
	FirstByte(pool core.Pool, d time.Duration)
}

// StoppingError is the cause with which the context of a request is cancelled when the router
// stops and can't wait for it any longer.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "the router stops" }

// stopping reports whether the context was cancelled because the router stops, while the
// caller is still there.
func stopping(ctx context.Context) bool {
	var stop *StoppingError
	return errors.As(context.Cause(ctx), &stop)
}

// Handler serves callers. It admits each request, forwards it to an upstream and
// records its outcome.
type Handler struct {
	Fleet       *fleet.Fleet
	Forwarder   *relay.Forwarder
	HeaderCodec HeaderCodec
	Log         *zap.Logger
	Metrics     Metrics
	// CloseAfterResponse reports whether a caller's connection is closed after
	// its current response, so that the load balancer opens the next one to
	// another router. A nil func keeps connections open.
	CloseAfterResponse func() bool
	// Memory bounds the requests that are held; nil if nothing does.
	Memory *budget.Pool
	// WriteTimeout is how long a caller may take nothing of a response; zero stands for
	// defaultWriteTimeout.
	WriteTimeout time.Duration
	// Relayed is true if the requests come from other routers, which can't reach the
	// upstreams.
	Relayed bool
	// Closing is set shortly before the server closes callers' connections.
	// Later requests are refused as not run, because their connections may be
	// closed before they are answered.
	Closing atomic.Bool
	// ActiveRequests is the number of requests that ServeHTTP is handling, refused
	// ones included.
	ActiveRequests atomic.Int64
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.ActiveRequests.Add(1)
	defer h.ActiveRequests.Add(-1)
	caller := callerOf(r.Context())
	arrived := time.Now()
	if h.CloseAfterResponse != nil && h.CloseAfterResponse() {
		w.Header().Set("Connection", "close")
	}
	headers := h.HeaderCodec.ParseRequest(r)
	if refusal := h.refuseClosing(); refusal != nil {
		h.refuse(w, headers.ID, "", refusal)
		return
	}
	headers.Host, headers.Path = hostname(r.Host), pathOf(r.RequestURI)
	client := h.client(r, headers.APIKey)
	if r.ContentLength != 0 {
		// A connection whose body stops short may be closed as one without a request.
		caller.setIdle()
	}
	body, holding, refusal := h.readBody(w, r, client)
	defer holding.Release()
	caller.setBusy()
	if refusal == nil {
		// A slow body may arrive long after the header.
		refusal = h.refuseClosing()
	}
	if refusal != nil {
		h.refuse(w, headers.ID, "", refusal)
		return
	}
	headers.Relayed = h.Relayed
	headers.Resuming = headers.HasLastEventID || headers.Resumes != ""
	headers.Content, headers.Bytes = contentDigest(r, headers, body), len(body)
	request, refusal := h.Fleet.Admit(arrived, headers.CallerRequest)
	if refusal != nil {
		h.refuse(w, headers.ID, request.Pool.Name, refusal)
		return
	}
	call := &relay.Call{
		Request: request, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: body, HasBody: r.ContentLength != 0, Client: client, LastEventID: headers.LastEventID, HasLastEventID: headers.HasLastEventID,
	}
	ctx := r.Context()
	if h.Relayed {
		call.Runs = relay.ParseRuns(r.Header)
		var cancel context.CancelFunc
		ctx, cancel = h.whileHeard(ctx, call, core.RouterID(r.Header.Get(relay.SenderField)))
		defer cancel()
	}
	out := &responseWriter{w: w, arrived: arrived, call: call, timeout: h.writeTimeout(), caller: caller}
	err := h.Forwarder.Forward(ctx, call, out)
	out.end()
	h.finish(ctx, w, call, out, err)
}

// refuseClosing returns the refusal of a request while connections are being closed, else
// nil.
func (h *Handler) refuseClosing() *core.Refusal {
	if !h.Closing.Load() {
		return nil
	}
	return &core.Refusal{Status: http.StatusServiceUnavailable, Certainty: core.NotRun, Code: "leaving", Message: "the router is leaving"}
}

// finish logs and counts the outcome of a request. If nothing was written and the
// caller is still connected, it writes the refusal. If the response broke off, or there is
// none, it panics with http.ErrAbortHandler, which closes the connection.
func (h *Handler) finish(ctx context.Context, w http.ResponseWriter, call *relay.Call, out *responseWriter, err error) {
	var refusal *core.Refusal
	outcome := "served"
	switch {
	case ctx.Err() != nil && !stopping(ctx):
		outcome = "caller_left"
	case errors.As(err, &refusal) && !out.headerWritten:
		h.refuse(w, call.ID, call.Pool.Name, refusal)
		return
	case err != nil:
		outcome = "broken"
	case out.status >= http.StatusBadRequest:
		outcome = "failed"
	}
	h.Metrics.Request(call.Pool.Name, outcome)
	h.Metrics.FirstByte(call.Pool.Name, out.headerLatency)
	h.Log.Info("request_finished", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.String("account", string(call.Account.Name)),
		zap.String("pool", string(call.Pool.Name)), zap.Uint64("version", call.CatalogVersion), zap.String("resumes", call.Resumes), zap.String("outcome", outcome),
		zap.Int("status", out.status), zap.Duration("first", out.headerLatency), zap.Duration("took", time.Since(out.arrived)), logs.Err(err))
	if err != nil {
		// The connection is closed so that the response doesn't look complete: a caller that
		// has closed its direction may still read.
		panic(http.ErrAbortHandler)
	}
}

// refuse logs and counts a refusal and writes it to the caller as JSON.
func (h *Handler) refuse(w http.ResponseWriter, id string, pool core.Pool, refusal *core.Refusal) {
	retryAfter := time.Duration(0)
	if refusal.Certainty == core.NotRun && refusal.Status == http.StatusServiceUnavailable {
		retryAfter = h.Fleet.RetryAfter()
		if refusal.RetryAfter > 0 {
			retryAfter = refusal.RetryAfter
		}
	}
	h.Log.Warn("request_refused", zap.String("request", id), zap.Int("status", refusal.Status), zap.String("code", refusal.Code),
		zap.String("certainty", refusal.Certainty.String()), zap.String("why", refusal.Message), zap.Duration("after", retryAfter))
	h.Metrics.Request(pool, "refused")
	header := w.Header()
	header.Set("Content-Type", "application/json")
	h.HeaderCodec.SetRefusalHeader(header, id, retryAfter)
	if h.Relayed {
		relay.MarkRefusal(header, refusal)
	}
	w.WriteHeader(refusal.Status)
	body, err := json.Marshal(map[string]string{"error": refusal.Message, "code": refusal.Code, "certainty": refusal.Certainty.String()})
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		h.Log.Info("refusal_write_failed", zap.String("request", id), logs.Err(err))
	}
}

// hostname returns hostPort without a port.
func hostname(hostPort string) string {
	if name, _, ok := strings.Cut(hostPort, ":"); ok {
		return name
	}
	return hostPort
}

// pathOf returns uri without a query.
func pathOf(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// contentDigest identifies a request by its method, URI, API key and body, so
// that it is recognised when it is sent again.
func contentDigest(r *http.Request, headers RequestHeaders, body blocks.Body) core.Digest {
	hash := xxhash.New()
	for _, text := range []string{r.Method, r.RequestURI, headers.APIKey} {
		_, _ = hash.WriteString(text + "\x00")
	}
	for _, block := range body {
		_, _ = hash.Write(block)
	}
	return core.Digest(hash.Sum64())
}
