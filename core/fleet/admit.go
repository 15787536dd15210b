package fleet

import (
	"net/http"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/lineage"
	"camphorpulley.org/core/poison"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// CallerRequest holds what a front end has parsed from a caller's request.
type CallerRequest struct {
	ID         string
	Host, Path string
	// APIKey is the API key; empty if none was given.
	APIKey string
	// Parts are the parts of the prompt in order. Other requests may share all but
	// the last one.
	Parts []prefix.Part
	// Timeout is the caller's time-out; zero if it set none.
	Timeout time.Duration
	// Resumes is the id of the request that brought the first event of the stream that the
	// caller resumes; empty if it resumes none, or doesn't say which.
	Resumes string
	// Resuming reports whether the caller resumes a stream of which it has received events.
	Resuming bool
	// Relayed reports whether another router has sent the request, which has counted it
	// towards the retry budget.
	Relayed bool
	// Content is the digest of method, path and body.
	Content core.Digest
	// Bytes is the size of the body.
	Bytes int
}

// Request is a request that Admit has accepted.
type Request struct {
	ID      string
	Route   *catalog.Route
	Pool    catalog.Pool
	Account catalog.Account
	// SharedParts are the parts of the prompt that other requests may share.
	SharedParts []prefix.Part
	// OwnTokens is the number of tokens in the part that no other request shares.
	OwnTokens int
	// AffinityKey is the rendezvous key that ranks upstreams for the request.
	AffinityKey core.Digest
	// draw is the seed of the candidates' pseudorandom numbers.
	draw core.Digest
	// Content is the digest of method, path and body.
	Content core.Digest
	// Deadline is when the time-out of the caller or of the route expires, whichever is
	// earlier.
	Deadline time.Time
	// Resumes is the id of the request that brought the first event of the stream that the
	// caller resumes; empty if it resumes none, or doesn't say which.
	Resumes string
	// Resuming reports whether the caller resumes a stream of which it has received events.
	Resuming bool
	// Relayed reports whether another router has sent the request.
	Relayed bool
	// Origin is where the stream began that the request continues.
	Origin lineage.Origin
	// CatalogVersion is that of the catalog under which the request was admitted.
	CatalogVersion uint64
	// Bytes is the size of the body.
	Bytes int
	// Asks is how often the request has asked for quota.
	Asks int
	// Arrived is when the router got the request.
	Arrived time.Time
	// Slot is what the request has learned of the slot for its next attempt.
	Slot SlotAnswer
	// RunsBefore is how often upstreams may have run the request before the next attempt.
	RunsBefore int
}

// Priority returns the priority of the account, or else of the route; zero is the
// most urgent.
func (r Request) Priority() int {
	if p := r.Account.Priority; p != nil {
		return *p
	}
	return r.Route.Priority
}

// defaultTimeout applies to routes without a time-out.
const defaultTimeout = time.Minute

// Refusal codes of Admit, CheckParts and Choose.
const (
	codeUnconfigured = "unconfigured"
	codeNoRoute      = "no_route"
	codeBadKey       = "bad_key"
	codeCrashes      = "crashes_upstreams"
	codeDeadlyPart   = "deadly_part"
	codeNoUpstream   = "no_upstream"
	codeLimited      = "upstreams_limited"
	codeTurnedAway   = "upstreams_turn_away"
	// codeOriginUnknown and codeNoRelease refuse a stream that callers resume.
	codeOriginUnknown = "stream_origin_unknown"
	codeNoRelease     = "stream_release_gone"
	codeCutOff        = "cut_off"
	codeBrittle       = "upstreams_brittle"
	codeNoSlot        = "no_slot"
)

// Admit authenticates a request, selects its route and pool, sets its deadline and
// counts it towards the pool's retry budget. It refuses a request that has no route,
// has an unknown key or has crashed upstreams, and all requests while there is no
// catalog.
func (f *Fleet) Admit(now time.Time, a CallerRequest) (Request, *core.Refusal) {
	c := f.Catalog()
	if c == nil {
		refusal := notRunRefusal(http.StatusServiceUnavailable, codeUnconfigured, "the router has no configuration yet")
		return Request{}, f.startingRefusal(now, refusal, chat.Key("", a.ID, nil))
	}
	route, ok := c.Match(a.Host, a.Path)
	if !ok {
		return Request{}, notRunRefusal(http.StatusNotFound, codeNoRoute, "no route has this host and path")
	}
	r := Request{ID: a.ID, Route: route, Content: a.Content, CatalogVersion: c.Version, Resumes: a.Resumes, Resuming: a.Resuming, Relayed: a.Relayed, Bytes: a.Bytes, Arrived: now}
	if c.Keys != nil && !route.Public {
		if r.Account, ok = c.Keys[a.APIKey]; !ok {
			return r, notRunRefusal(http.StatusUnauthorized, codeBadKey, "the API key is not known")
		}
	}
	if n := len(a.Parts); n > 0 {
		r.SharedParts, r.OwnTokens = a.Parts[:n-1], a.Parts[n-1].Tokens
	}
	r.draw = chat.Key("", a.ID, nil)
	r.AffinityKey = affinityKey(r.draw, r.SharedParts)
	r.Pool = c.Pools[route.PickPool(chat.Key("", route.Name, nil)^r.AffinityKey)]
	r.Deadline = now.Add(effectiveTimeout(a.Timeout, route.Timeout))
	if f.isPoison(now, a.Content) {
		return r, notRunRefusal(http.StatusServiceUnavailable, codeCrashes, "this request crashed the upstreams that ran it")
	}
	if !r.Relayed {
		f.withBudget(r.Pool.Name, func(b *retry.SharedBudget) { b.RecordRequest(now, f.settings.Retry) })
	}
	return r, nil
}

// affinityKey returns the rendezvous key of a request: the id of the last part that
// it may share with others, or the hash of its own id if there is none.
func affinityKey(ownID core.Digest, shared []prefix.Part) core.Digest {
	if n := len(shared); n > 0 {
		return shared[n-1].ID
	}
	return ownID
}

// effectiveTimeout returns the shorter of the caller's and the route's time-out.
func effectiveTimeout(caller, route time.Duration) time.Duration {
	if route <= 0 {
		route = defaultTimeout
	}
	if caller <= 0 {
		return route
	}
	return min(caller, route)
}

// notRunRefusal returns a refusal of a request that no upstream has run.
func notRunRefusal(status int, code, message string) *core.Refusal {
	return &core.Refusal{Status: status, Certainty: core.NotRun, Code: code, Message: message}
}

// isPoison reports whether requests with this content are refused because they have
// crashed upstreams.
func (f *Fleet) isPoison(now time.Time, d core.Digest) bool {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) bool { return s.table.Refused(now, d) })
}

// RecordBrokenConnection records that the connection to an upstream broke while it
// ran a request. It counts as a crash once another process shows that this one has ended.
func (f *Fleet) RecordBrokenConnection(now time.Time, r Request, t Target) {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		s.breaks.Record(poison.Break{
			Content: r.Content, Process: processName(t.Entry), Upstream: t.ID, Address: t.Address, Pool: t.Pool, At: now,
		})
	})
}

// recordProcess records that a process of an upstream has appeared.
func (s *suspects) recordProcess(now time.Time, e roster.Entry) {
	s.recordCrashes(now, s.breaks.Appeared(now, poison.Process{Upstream: e.ID, Address: e.Address, Pool: e.Pool}))
}

// recordCrashes records the requests that were running when upstreams crashed.
func (s *suspects) recordCrashes(now time.Time, crashes []poison.Break) {
	for _, b := range crashes {
		s.table.RecordCrash(now, b.Content, b.Process)
		s.unsent = append(s.unsent, Crash{Content: b.Content, Process: b.Process})
	}
}

// recordPresence records for suspected crashes whether the entry of an upstream's process was
// removed without notice, or is there again.
func (f *Fleet) recordPresence(now time.Time, held table.Hold, up roster.Upstream) {
	var lastSeen time.Time
	f.states.Do(held, func(_ table.Hold, st *states) {
		if s := st.byID[up.ID]; s != nil {
			lastSeen = s.lastSeen
		}
	})
	f.suspects.Do(held, func(_ table.Hold, s *suspects) {
		process := processName(up.Entry)
		switch {
		case up.RemovedAt.IsZero():
			s.breaks.Returned(process)
			s.table.Withdraw(process)
		case !up.Draining && up.RemovedInOutage == 0:
			s.recordCrashes(now, s.breaks.Left(now, process, lastSeen))
		}
	})
}

// ClearSuspect removes a request that has completed from the suspect requests.
func (f *Fleet) ClearSuspect(r Request) {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) { s.table.Clear(r.Content) })
}

// TakeRetry reports whether the retry budget that all routers share permits one more
// attempt, and charges it to this router's share of the budget.
func (f *Fleet) TakeRetry(now time.Time, r Request) bool {
	share := f.retryShare(now)
	var permitted bool
	f.withBudget(r.Pool.Name, func(b *retry.SharedBudget) { permitted = b.Take(now, f.settings.Retry, share) })
	return permitted
}

// permitsRetry reports whether the retry budget permits one more attempt, without charging it.
func (f *Fleet) permitsRetry(now time.Time, r Request) bool {
	share := f.retryShare(now)
	var permitted bool
	f.withBudget(r.Pool.Name, func(b *retry.SharedBudget) { permitted = b.Permits(now, f.settings.Retry, share) })
	return permitted
}

// retryShare returns what the router knows of its part of the retry budget. Before it has read
// the list of routers, it would take itself for the only one.
func (f *Fleet) retryShare(now time.Time) retry.Share {
	var p retry.Share
	if f.settings.Restarted {
		p.RestartedAt = f.started
	}
	if listed := table.Read(f.members, table.Hold{}, func(t *members) bool { return t.listed }); listed {
		p.Routers, _, _ = f.membership(now)
	}
	return p
}

// withBudget calls fn with the retry budget of a pool, creating it on first use.
func (f *Fleet) withBudget(p core.Pool, fn func(*retry.SharedBudget)) {
	f.budgets.Do(table.Hold{}, func(_ table.Hold, all *map[core.Pool]*retry.SharedBudget) {
		b := (*all)[p]
		if b == nil {
			b = &retry.SharedBudget{}
			(*all)[p] = b
		}
		fn(b)
	})
}
