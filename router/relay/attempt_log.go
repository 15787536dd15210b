package relay

import (
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/prefix"
)

// log logs a finished attempt. The shared parts of the prompt are logged only if the
// connection broke before the answer was under way: they may be the cause.
func (a *attempt) log(took time.Duration, ejected bool, err error) {
	t := a.target
	fields := []zap.Field{
		zap.String("request", a.ID), zap.Int("attempt", a.id), zap.String("upstream", string(t.ID)), zap.String("release", t.Release), zap.Int64("entry", t.StartedMS), zap.Bool("questioned", a.questioned), zap.Bool("detour", a.helper != ""),
		zap.String("outcome", a.outcome.String()), zap.Int("status", a.status), zap.Bool("sent", a.sent), zap.String("address", t.Address), zap.Uint64("conn", a.connSerial),
		zap.Bool("reused", a.reusedConn), zap.Int("skipped", a.skipped), zap.Int("events", a.events), zap.String("limit", a.headers.Says.Limit.String()),
		zap.String("brittle", a.headers.Says.Brittle.String()), zap.Bool("leaving", a.headers.Says.Leaving), zap.Duration("after", a.headers.Says.RetryAfter),
		zap.Duration("took", took), zap.Int("load", t.Load), zap.String("reported", reportedLoad(a.reported)), zap.Int("pace", statedPace(a.reported)), zap.Int("expected_pace", int(100*t.Pace)), zap.Int("held", t.CachedTokens), zap.Int("prompt", t.SharedTokens),
		zap.String("fetch", t.FetchFrom), zap.Int("candidates", t.CandidateCount), zap.String("away", string(t.Away)), zap.Bool("rests", ejected), logs.Err(err),
	}
	if a.outcome == health.Broken && !a.underWay() && len(a.SharedParts) > 0 {
		fields = append(fields, zap.Strings("parts", partNames(a.SharedParts)))
	}
	a.forwarder.Log.Info("attempt_finished", fields...)
}

// reportedLoad returns the number of requests in a report; empty if there is none.
func reportedLoad(r *load.Report) string {
	if r == nil {
		return ""
	}
	return strconv.Itoa(r.Total())
}

// statedPace returns the pace in a report in hundredths; zero if it states none.
func statedPace(r *load.Report) int {
	if r == nil {
		return 0
	}
	return r.Pace
}

// partNames returns the ids of parts in hexadecimal.
func partNames(parts []prefix.Part) []string {
	return lo.Map(parts, func(p prefix.Part, _ int) string { return strconv.FormatUint(uint64(p.ID), 16) })
}
