package fleet

import (
	"net/http"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/catalog"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/retry"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Ask is a caller's request as a front end has read it.
type Ask struct {
	ID         string
	Host, Path string
	// Key is the API key; empty if none was given.
	Key string
	// Parts are the parts of the prompt in order. The last one is the request's
	// own.
	Parts []prefix.Part
	// Wait is how long the caller waits; zero if it doesn't say.
	Wait time.Duration
	// Content is the digest of method, path and body.
	Content core.Digest
}

// Request is a request that may be served.
type Request struct {
	ID      string
	Route   *catalog.Route
	Pool    catalog.Pool
	Account catalog.Account
	// Shared are the parts of the prompt that other requests may share.
	Shared []prefix.Part
	// Own is how many tokens of the prompt are the request's own.
	Own int
	// Key orders the upstreams for the request.
	Key     core.Digest
	Content core.Digest
	// Until is when the caller or the operators' time-out gives up.
	Until time.Time
	// Version is that of the catalog that decided.
	Version uint64
}

// Priority returns how urgent the request is; zero is the most urgent.
func (r Request) Priority() int {
	if p := r.Account.Priority; p != nil {
		return *p
	}
	return r.Route.Priority
}

// defaultTimeout bounds requests of routes that have no time-out.
const defaultTimeout = time.Minute

// Refusal codes of Admit.
const (
	codeUnconfigured = "unconfigured"
	codeNoRoute      = "no_route"
	codeBadKey       = "bad_key"
	codeCrashes      = "crashes_upstreams"
	codeNoUpstream   = "no_upstream"
)

// Admit decides whether a request may be served, and by which pool.
func (f *Fleet) Admit(now time.Time, a Ask) (Request, *core.Refusal) {
	c := f.Current()
	if c == nil {
		return Request{}, notRun(http.StatusServiceUnavailable, codeUnconfigured, "the router has no configuration yet")
	}
	route, ok := c.Match(a.Host, a.Path)
	if !ok {
		return Request{}, notRun(http.StatusNotFound, codeNoRoute, "no route has this host and path")
	}
	r := Request{ID: a.ID, Route: route, Content: a.Content, Version: c.Version}
	if c.Keys != nil && !route.Public {
		if r.Account, ok = c.Keys[a.Key]; !ok {
			return r, notRun(http.StatusUnauthorized, codeBadKey, "the API key is not known")
		}
	}
	if n := len(a.Parts); n > 0 {
		r.Shared, r.Own = a.Parts[:n-1], a.Parts[n-1].Tokens
	}
	r.Key = key(a, r.Shared)
	r.Pool = c.Pools[route.PickPool(chat.Key("", route.Name, nil)^r.Key)]
	r.Until = now.Add(deadline(a.Wait, route.Timeout))
	if f.refused(now, a.Content) {
		return r, notRun(http.StatusServiceUnavailable, codeCrashes, "this request crashed the upstreams that ran it")
	}
	f.budget(r.Pool.Name, func(b *retry.SharedBudget) { b.RecordRequest(now, f.settings.Retry) })
	return r, nil
}

// key returns what orders the upstreams for a request: the deepest part that
// it shares with others, or the request itself.
func key(a Ask, shared []prefix.Part) core.Digest {
	if n := len(shared); n > 0 {
		return shared[n-1].ID
	}
	return chat.Key("", a.ID, nil)
}

func deadline(wait, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if wait <= 0 {
		return timeout
	}
	return min(wait, timeout)
}

func notRun(status int, code, message string) *core.Refusal {
	return &core.Refusal{Status: status, Certainty: core.NotRun, Code: code, Message: message}
}

func (f *Fleet) refused(now time.Time, d core.Digest) bool {
	return table.Read(f.suspects, table.Hold{}, func(s *suspects) bool { return s.table.Refused(now, d) })
}

// Broke takes in that an upstream's connection broke while it ran a request.
// It is a crash if another process comes up at the address.
func (f *Fleet) Broke(now time.Time, r Request, t Target) {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		s.broken[t.Address] = append(s.broken[t.Address], breakage{
			crash: Crash{Content: r.Content, Process: process(t.Entry)}, at: now,
		})
	})
}

// crashed takes in that a process has come up. What ran at its address when
// connections broke is then taken to have crashed the one before.
func (s *suspects) crashed(now time.Time, e roster.Entry) {
	for _, b := range s.broken[e.Address] {
		if now.Sub(b.at) > breakageAge {
			continue
		}
		s.table.RecordCrash(now, b.crash.Content, b.crash.Process)
		s.told = append(s.told, b.crash)
	}
	delete(s.broken, e.Address)
}

// forget drops broken connections that no crash explains.
func (s *suspects) forget(now time.Time) {
	for address, all := range s.broken {
		if now.Sub(all[len(all)-1].at) > breakageAge {
			delete(s.broken, address)
		}
	}
}

// breakageAge is how long after a connection broke another process may come up:
// an upstream is back after some seconds.
const breakageAge = 20 * time.Second

// Cleared takes in that a request has run to its end.
func (f *Fleet) Cleared(r Request) {
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) { s.table.Clear(r.Content) })
}

// Retry reports whether one more attempt of a request may be made, and counts
// it against the budget that all routers share.
func (f *Fleet) Retry(now time.Time, r Request) bool {
	routers := f.routers(now)
	var may bool
	f.budget(r.Pool.Name, func(b *retry.SharedBudget) { may = b.Take(now, f.settings.Retry, routers) })
	return may
}

func (f *Fleet) budget(p core.Pool, fn func(*retry.SharedBudget)) {
	f.budgets.Do(table.Hold{}, func(_ table.Hold, all *map[core.Pool]*retry.SharedBudget) {
		b := (*all)[p]
		if b == nil {
			b = &retry.SharedBudget{}
			(*all)[p] = b
		}
		fn(b)
	})
}
