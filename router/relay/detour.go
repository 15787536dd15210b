package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/answer"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/httpclient"
)

// Header fields between routers.
const (
	// RefusalField marks a response that a router has made itself: the certainty and the
	// code of its refusal.
	RefusalField = "Router-Refusal"
	// RunsField holds how often upstreams may have run the request, in requests and in
	// responses.
	RunsField = "Router-Runs"
	// SenderField holds the router that sends a request to another one.
	SenderField = "Router-Id"
)

// MarkRefusal marks the response to another router as a refusal.
func MarkRefusal(h http.Header, r *core.Refusal) {
	h.Set(RefusalField, r.Certainty.String()+" "+r.Code)
}

// ParseRuns returns how often upstreams may have run a request; zero if the header doesn't say.
func ParseRuns(h http.Header) int {
	n, err := strconv.Atoi(h.Get(RunsField))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// errHelperRefused means that another router has refused the request.
var errHelperRefused = errors.New("another router has refused the request")

// takeDetour sends the request to other routers, one after the other, while it can't be sent
// to an upstream and some are left. Done is true if the request has ended, with the error of
// Forward.
func (s *callState) takeDetour() (done bool, err error) {
	f := s.forwarder
	for {
		now := time.Now()
		helper, ok := f.Fleet.ChooseHelper(now, s.Request, s.detours)
		if !ok || s.ctx.Err() != nil || !s.mayDetour(now) {
			return false, nil
		}
		s.detours.Helpers = append(s.detours.Helpers, helper.ID)
		sent, err := s.tryHelper(helper)
		if err == nil {
			return true, nil
		}
		now = time.Now()
		var writeErr *CallerWriteError
		switch {
		case s.helperRefusal != nil:
			return true, s.fail(now, s.withCertainty(now, s.helperRefusal))
		case s.ctx.Err() != nil, errors.As(err, &writeErr), !f.Fleet.MayRetry(now, s.Request, &s.exchange, sent, s.Runs):
			return true, s.fail(now, f.Fleet.Refuse(now, s.Request, &s.exchange, err.Error()))
		}
	}
}

// mayDetour reports whether the request may run at another router.
func (s *callState) mayDetour(now time.Time) bool {
	return s.exchange.MayRetry() && now.Before(s.Deadline) && (s.Runs == 0 || s.Runs < s.Route.MaxRuns)
}

// tryHelper makes one attempt at another router. It reports whether the router may have run
// the request.
func (s *callState) tryHelper(helper fleet.Member) (bool, error) {
	f := s.forwarder
	a := &attempt{callState: s, helper: helper.ID, target: fleet.Target{Upstream: roster.Upstream{Entry: roster.Entry{
		ID: core.UpstreamID(helper.ID), Pool: s.Pool.Name, Address: helper.Detour, DataCentre: helper.DataCentre,
	}}}}
	a.id = s.exchange.StartAttempt(a.target.ID)
	started := time.Now()
	before := s.Runs
	err := a.protectedRun()
	a.countRuns(before)
	now := time.Now()
	ejected := f.Fleet.FinishDetour(now, helper.ID, a.outcome)
	f.Metrics.Ended(s.Pool.Name, "detour_"+a.outcome.String())
	a.log(now.Sub(started), ejected, err)
	return a.sent && a.outcome != health.Shed, err
}

// countRuns counts the runs that another router has made: those that its response states, or
// as many as the route permits if nothing is known.
func (a *attempt) countRuns(before int) {
	if !a.sent || a.outcome == health.Shed {
		a.Runs = before
		return
	}
	a.Runs = a.runsAtHelper(before + 1)
}

// runsAtHelper returns how often upstreams may have run the request once another router has
// it. Least is the least number.
func (a *attempt) runsAtHelper(least int) int {
	if a.helperRuns > 0 {
		return a.helperRuns
	}
	return max(least, a.Route.MaxRuns)
}

// readRefusal handles the response of another router that has refused the request. It
// returns false if the response is that of an upstream.
func (a *attempt) readRefusal(resp *httpclient.Response) (bool, error) {
	a.helperRuns = ParseRuns(resp.Header)
	certainty, code, marked := strings.Cut(resp.Header.Get(RefusalField), " ")
	if a.helper == "" || !marked {
		return false, nil
	}
	if certainty != core.NotRun.String() {
		resp.Abort()
		a.outcome = health.Unknown
		a.exchange.SetPhase(a.id, answer.Failed)
		return true, errHelperRefused
	}
	a.exchange.SetPhase(a.id, answer.Declined)
	a.outcome = health.Shed
	if fleet.ConcernsPool(code) {
		// Another router would refuse the request for the same reason.
		a.outcome = health.Good
		a.helperRefusal = &core.Refusal{
			Status: resp.StatusCode, Certainty: core.NotRun, Code: code, Message: "refused by router " + string(a.helper), RetryAfter: a.headers.Says.RetryAfter,
		}
	}
	a.discard(resp)
	return true, errHelperRefused
}

// discard reads the rest of a short response, so that the connection can be used again, though
// not for this request.
func (a *attempt) discard(resp *httpclient.Response) {
	err := resp.SetWait(httpclient.Wait{Until: time.Now().Add(maxDiscardTime)})
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp, maxDiscardBytes))
	}
	if err != nil {
		resp.Abort()
		return
	}
	resp.ExcludeRequest(a.ID)
	resp.Release(time.Now(), a.forwarder.Conns)
}

// Probe opens connections to upstreams of the pools from which the router is cut off, and
// records which ones could be opened. A request that had to wait for that would be late.
func (f *Forwarder) Probe(ctx context.Context) {
	now := time.Now()
	var probes sync.WaitGroup
	for _, u := range f.Fleet.ProbeTargets(now) {
		probes.Go(func() { _ = worker.Protect(func() { f.probe(ctx, now, u) }) })
	}
	probes.Wait()
}

// probe opens a connection to an upstream and records whether that was possible.
func (f *Forwarder) probe(ctx context.Context, now time.Time, u roster.Upstream) {
	err := f.Conns.Warm(ctx, now, u.Address, fleet.ProbeTimeout)
	f.Log.Info("pool_cut_off", zap.String("pool", string(u.Pool)), zap.String("upstream", string(u.ID)), zap.Bool("reached", err == nil), logs.Err(err))
	if err != nil {
		f.Fleet.RecordUnreached(time.Now(), u)
		return
	}
	f.Fleet.RecordReached(time.Now(), u)
}
