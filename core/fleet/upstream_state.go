package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/demand"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/locality"
	"camphorpulley.org/core/pace"
	"camphorpulley.org/core/quota"
	"camphorpulley.org/core/ratelimit"
	"camphorpulley.org/core/statement"
)

// state holds one upstream's load and health.
type state struct {
	health health.Record
	load   load.Tracker
	// cold holds the times of requests that were sent while the upstream was cold.
	cold ratelimit.Window
	// lastSuccess is the time of the last successful response, lastSeen that of the
	// last data of any kind.
	lastSuccess, lastSeen time.Time
	// successes and failures count responses since the last heartbeat: complete ones
	// and failures.
	successes, failures int
	// ejectedLocally is true if this router's own requests caused the ejection.
	ejectedLocally bool
	// reachability is that of the upstream's data centre; nil until a request to the
	// upstream has ended.
	reachability *health.Reachability
	// said is what the upstream's process has said about itself, statementNotifiedAt when
	// other routers were last told of its limit at once, statementRepeatedAt when a
	// heartbeat last held it. heardItself is true if this router has got an answer since.
	said                statement.Statement
	statementNotifiedAt time.Time
	statementRepeatedAt time.Time
	heardItself         bool
	// pausedUntil is until when the upstream, which is brittle, gets no requests.
	pausedUntil time.Time
	// doubt is the doubt whether the process is still the one of the entry.
	doubt lineage.Doubt
	// broken is the weaker doubt that a broken connection raises: streams go on at the process,
	// but those that begin there ask for its identity.
	broken lineage.Doubt
	// allotment is who grants requests within the limit, bucket what this router may
	// grant as the allotter, purse what it was granted.
	allotment allotment
	bucket    quota.Bucket
	purse     quota.Purse
	// pace is what is known of the pace of the upstream's host.
	pace pace.Record
}

// livenessWindow is how recently an upstream must have sent data to count as running
// despite a contact failure: the events of a stream come more often.
const livenessWindow = 300 * time.Millisecond

// unreachable reports whether contact failed since the last response and the upstream
// has sent nothing within livenessWindow.
func (s *state) unreachable(now time.Time) bool {
	return s.health.ContactFailures > 0 && now.Sub(s.lastSeen) > livenessWindow
}

// ejectedOrDegraded reports whether the upstream is ejected, or was less than
// degradedPeriod ago and hasn't responded since.
func (s *state) ejectedOrDegraded(now time.Time) bool {
	return s.health.Ejected(now) || s.health.Degraded(now)
}

// excluded reports whether the upstream gets work only when there is no other: it is
// ejected, or it is degraded, gets one request at a time and has one.
func (s *state) excluded(now time.Time) bool {
	return s.health.Ejected(now) || (s.health.Degraded(now) && s.load.Local > 0)
}

// markSeen records that the upstream has sent something.
func (s *state) markSeen(now time.Time) {
	s.lastSeen = now
	if s.reachability != nil {
		s.reachability.RecordContact()
	}
}

// states is the table of the states of upstreams and of the reachability of data
// centres. The zero value is empty.
type states struct {
	byID         map[core.UpstreamID]*state
	byDataCentre map[core.DataCentre]*health.Reachability
	runTimes     map[core.Pool]*load.RunTime
	// bounds holds the bound on the load by pool, as of the last choice.
	bounds map[core.Pool]loadBound
	// demand counts this router's requests by affinity key.
	demand demand.Keys
	// refusals holds by pool the times of requests that were refused because of limits.
	refusals map[core.Pool]*ratelimit.Window
	// paceStated is true once any upstream has stated the pace of its host.
	paceStated bool
	// untold holds the upstreams whose pace other routers are to be told.
	untold []core.UpstreamID
	// bases holds by route what is known of the time until answers begin, runs the recent
	// runs at applications.
	bases map[string]*pace.Base
	runs  map[string]*pace.Runs
	// answerBytes holds by route the mean size of answers, linkDelays the measured delays to
	// other data centres.
	answerBytes map[string]*load.Mean
	linkDelays  map[core.DataCentre]*locality.Delay
}

// refusalsOf returns the refusals of a pool, creating them on first use.
func (st *states) refusalsOf(p core.Pool) *ratelimit.Window {
	w := st.refusals[p]
	if w == nil {
		if st.refusals == nil {
			st.refusals = map[core.Pool]*ratelimit.Window{}
		}
		w = &ratelimit.Window{}
		st.refusals[p] = w
	}
	return w
}

// setBound keeps a pool's bound for reports that arrive until the next choice.
func (st *states) setBound(p core.Pool, b loadBound) {
	if st.bounds == nil {
		st.bounds = map[core.Pool]loadBound{}
	}
	st.bounds[p] = b
}

// runTime returns the run time of a pool's requests, creating it on first use.
func (st *states) runTime(p core.Pool) *load.RunTime {
	t := st.runTimes[p]
	if t == nil {
		if st.runTimes == nil {
			st.runTimes = map[core.Pool]*load.RunTime{}
		}
		t = &load.RunTime{}
		st.runTimes[p] = t
	}
	return t
}

// get returns the state of an upstream, creating it on first use.
func (st *states) get(id core.UpstreamID) *state {
	s := st.byID[id]
	if s == nil {
		if st.byID == nil {
			st.byID = map[core.UpstreamID]*state{}
		}
		s = &state{}
		st.byID[id] = s
	}
	return s
}

// reach returns the reachability of a data centre, creating it on first use.
func (st *states) reach(dc core.DataCentre) *health.Reachability {
	c := st.byDataCentre[dc]
	if c == nil {
		if st.byDataCentre == nil {
			st.byDataCentre = map[core.DataCentre]*health.Reachability{}
		}
		c = &health.Reachability{}
		st.byDataCentre[dc] = c
	}
	return c
}
