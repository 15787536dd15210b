package fleet

import (
	"net/http"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// A stream goes on only at the software release that began it. The router that begins one
// knows it. While a pool has several releases, it also tells a few holders, chosen by
// rendezvous over data centres, so that a caller that resumes the stream at any router
// finds the release there, though the router that began it is gone.

// OriginRequest asks a holder at which release a stream began.
type OriginRequest struct {
	Stream core.Digest
	Pool   core.Pool
	// LifeMS is how long streams of the route may last, in milliseconds.
	LifeMS int64
}

// OriginReply is the response to an OriginRequest.
type OriginReply struct {
	Stream core.Digest
	lineage.Report
}

const (
	// lifeMargin is how much longer than the time-out of its route a stream may last over
	// its caller's tries, and clocks may differ.
	lifeMargin = 5 * time.Second
	// maxLife bounds the times that messages state.
	maxLife = time.Hour
)

// streamLife returns how long after its beginning callers may resume a stream.
func streamLife(r *catalog.Route) time.Duration { return effectiveTimeout(0, r.Timeout) + lifeMargin }

// streamOf returns the key of a stream that a request has begun.
func streamOf(requestID string) core.Digest { return chat.Key("", requestID, nil) }

// ResumesStream reports whether the caller has received events of a stream and resumes it.
func (r Request) ResumesStream() bool { return r.Resuming && r.Route.Kind == catalog.Stream }

// beginsStream reports whether callers may resume the stream that the request begins.
func (r Request) beginsStream() bool {
	return r.Route.Kind == catalog.Stream && r.Route.Deterministic && !r.Origin.Begun
}

// DependsOnProcess reports whether a stream depends on which process answers at a target: it
// goes on there, or callers may resume it and the entry's word isn't enough. That is so if the
// process is in doubt, a connection to it broke, or the pool has had several releases: a process
// that was replaced under its id may be of another one, and its entry arrives late.
func (f *Fleet) DependsOnProcess(now time.Time, r Request, t Target) bool {
	if t.Release == "" || r.Route.Kind != catalog.Stream || !r.Route.Deterministic {
		return false
	}
	return r.Origin.Begun || !t.Certain || t.Broken || f.severalReleases(now, r.Pool.Name, streamLife(r.Route))
}

// severalReleases reports whether a pool has had several releases within a time, or may have had
// some before the router knew its upstreams: the store has a record of it, or hasn't been read.
func (f *Fleet) severalReleases(now time.Time, p core.Pool, life time.Duration) bool {
	switch f.poolReport(now, p, life).Knowledge {
	case lineage.Mixed:
		return true
	case lineage.Unsure:
		return !table.Read(f.mixed, table.Hold{}, func(m *lineage.MixedPools) bool { return m.Excludes(p) })
	}
	return false
}

// RecordIdentity records when the process that answers at a target has started, in
// milliseconds since the Unix epoch, and reports whether it is the one of the entry. If it
// isn't, the entry is in doubt.
func (f *Fleet) RecordIdentity(now time.Time, t Target, startedMS int64) bool {
	same := startedMS == t.StartedMS
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(t.ID)
		if !same {
			s.raiseDoubt(now, t.Upstream)
			return
		}
		for _, d := range []*lineage.Doubt{&s.doubt, &s.broken} {
			if d.StartedMS == startedMS && d.Since.Before(now) {
				*d = lineage.Doubt{}
			}
		}
	})
	return same
}

// RecordEarlyCloses records the addresses at which upstreams have closed idle connections earlier than
// they had stated: their processes may have ended, and others may answer there.
func (f *Fleet) RecordEarlyCloses(now time.Time, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			for _, up := range u.roster.All() {
				if slices.Contains(addresses, up.Address) {
					st.get(up.ID).recordBroken(now, up)
				}
			}
		})
	})
}

// RecordBeginning records the release of an attempt that may begin a stream, before it is
// sent, and returns the messages that tell its holders. There are none while the pool has
// had a single release for as long as a stream lasts.
func (f *Fleet) RecordBeginning(now time.Time, r Request, t Target) []Envelope {
	if !r.beginsStream() {
		return nil
	}
	record := lineage.Record{
		Stream: streamOf(r.ID), Pool: r.Pool.Name, Certain: t.Certain, Release: t.Release, Until: now.Add(streamLife(r.Route)),
		Upstream: t.ID, StartedMS: t.StartedMS, BegunAt: now, Identified: t.Identified,
	}
	f.lineage.Do(table.Hold{}, func(_ table.Hold, l *lineage.Records) { l.Begin(now, record) })
	if f.poolReport(now, r.Pool.Name, streamLife(r.Route)).Knowledge == lineage.Uniform {
		return nil
	}
	return f.unsentRecords(now, map[core.Pool]bool{r.Pool.Name: true})
}

// RevokeBeginning is called when the attempt has failed by which a stream began. If the
// upstream's entry is that of another process by now, the stream may have begun at that one:
// RevokeBeginning then reports true, and returns the messages that tell the stream's holders.
func (f *Fleet) RevokeBeginning(now time.Time, r Request, t Target) (bool, []Envelope) {
	if t.Identified {
		return false, nil
	}
	replaced := false
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		up, known := u.roster.Get(t.ID)
		replaced = known && up.StartedMS != t.StartedMS
	})
	if !replaced {
		return false, nil
	}
	record := lineage.Record{Stream: streamOf(r.ID), Pool: r.Pool.Name, Until: now.Add(streamLife(r.Route)), Upstream: t.ID, StartedMS: t.StartedMS, BegunAt: now}
	f.lineage.Do(table.Hold{}, func(_ table.Hold, l *lineage.Records) { l.Begin(now, record) })
	return true, f.unsentRecords(now, map[core.Pool]bool{r.Pool.Name: true})
}

// poolReport returns what the router knows of the releases that a pool has had for a time.
func (f *Fleet) poolReport(now time.Time, p core.Pool, life time.Duration) lineage.Report {
	var releases []string
	var lastStartMS int64
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		releases, lastStartMS = u.roster.Releases(p, now.Add(-life))
	})
	switch {
	case len(releases) > 1:
		return lineage.Report{Knowledge: lineage.Mixed}
	case len(releases) == 0:
		return lineage.Report{}
	case releases[0] == "":
		// The upstreams state no releases.
	case life > roster.RemovedRetention:
		return lineage.Report{}
	case now.Sub(f.followsSince()) >= life:
	case now.UnixMilli()-lastStartMS < life.Milliseconds():
		// A process of another release may have been replaced before the router knew it.
		return lineage.Report{}
	case !table.Read(f.mixed, table.Hold{}, func(m *lineage.MixedPools) bool { return m.Excludes(p) }):
		// Upstreams of another release may have left before the router knew them.
		return lineage.Report{}
	}
	return lineage.Report{Knowledge: lineage.Uniform, Release: releases[0]}
}

// originReport returns what the router knows of the beginning of a stream. With binding, others may
// know no better: it has a record, and has not only been told that this is uncertain.
func (f *Fleet) originReport(now time.Time, stream core.Digest, p core.Pool, life time.Duration) (report lineage.Report, binding bool) {
	var record lineage.Record
	var found bool
	f.lineage.Do(table.Hold{}, func(_ table.Hold, l *lineage.Records) { record, found = l.Find(now, stream) })
	if found {
		record.Certain = record.Certain && !f.begunAtReplaced(record)
		return record.Report(), record.Certain || record.Upstream != ""
	}
	return f.poolReport(now, p, life), false
}

// begunAtReplaced reports whether another process than the one of the record may have begun its
// stream.
func (f *Fleet) begunAtReplaced(r lineage.Record) bool {
	return table.Read(f.roster, table.Hold{}, func(u *upstreams) bool {
		at, startedMS, replaced := u.roster.ReplacedAt(r.Upstream, r.StartedMS)
		return replaced && r.BegunAtReplaced(at, startedMS)
	})
}

// LookUpOrigin returns what the router itself knows of the beginning of the stream that a caller
// resumes, and the requests to others that may know more; there are none if it has a
// record.
func (f *Fleet) LookUpOrigin(now time.Time, r Request) (lineage.Report, []Envelope) {
	if r.Resumes == "" {
		return f.poolReport(now, r.Pool.Name, streamLife(r.Route)), nil
	}
	stream, life := streamOf(r.Resumes), streamLife(r.Route)
	t, binding := f.originReport(now, stream, r.Pool.Name, life)
	if binding {
		return t, nil
	}
	var asks []Envelope
	for _, id := range f.holders(f.Members(now), stream) {
		m := Message{OriginRequest: &OriginRequest{Stream: stream, Pool: r.Pool.Name, LifeMS: life.Milliseconds()}}
		asks = append(asks, f.addressed(now, []core.RouterID{id}, m)...)
	}
	return t, asks
}

// Stream returns the key under which other routers know the stream that the caller resumes.
func (r Request) Stream() core.Digest { return streamOf(r.Resumes) }

// replyOrigin returns what the router knows of the beginning of a stream.
func (f *Fleet) replyOrigin(now time.Time, q OriginRequest) *Message {
	life := min(time.Duration(max(q.LifeMS, 0)), maxLife/time.Millisecond) * time.Millisecond
	report, _ := f.originReport(now, q.Stream, q.Pool, life)
	return &Message{OriginReply: &OriginReply{Stream: q.Stream, Report: report}}
}

// permitted returns the candidates at which the stream of a request may begin or go on.
func permitted(r Request, all []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !r.Origin.Permits(c.Upstream.Release, c.Certain) })
}

// originUnknown returns the refusal of a stream that callers resume, and of which no router
// knows where it began.
func originUnknown() *core.Refusal {
	return notRunRefusal(http.StatusServiceUnavailable, codeOriginUnknown, "it is not known which software release began the stream")
}

// releaseGone returns the refusal of a stream because no upstream in service runs the release
// that began it.
func releaseGone() *core.Refusal {
	return notRunRefusal(http.StatusServiceUnavailable, codeNoRelease, "no upstream of the pool runs the software release that began the stream")
}
