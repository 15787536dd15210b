package fleet

import (
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

// Message is what one router sends to another. One field is set.
type Message struct {
	Hello    *Member
	Beat     *Beat
	Want     *Want
	Snapshot *Snapshot
	Read     *Read
}

// Effects are what a message has changed, and the answer to it.
type Effects struct {
	// Reply is the answer; nil if the message needs none.
	Reply   *Message
	Changes []roster.Change
	// Version is that of a catalog that came into force; zero if none did.
	Version uint64
	// Faults are the parts of the message that can't be read.
	Faults []error
}

// Beat tells what a router knows at the moment, and what it has learned since
// its last beat.
type Beat struct {
	// Version is that of the catalog in force.
	Version uint64
	// Known is how many upstreams the router knows.
	Known   int
	Running []Running
	Resting []Resting
	// Results holds the upstreams that failed requests since the last beat.
	Results []Results
	Held    []prefix.CachedPart
	Crashes []Crash
}

// Running is how many requests a router has at an upstream.
type Running struct {
	Upstream core.UpstreamID
	Count    int
}

// Resting says that an upstream is left alone for some milliseconds.
type Resting struct {
	Upstream core.UpstreamID
	ForMS    int64
}

// Results counts how attempts at an upstream ended.
type Results struct {
	Upstream  core.UpstreamID
	Good, Bad int
}

// Crash says that an upstream's process crashed while it ran a request.
type Crash struct {
	Content core.Digest
	Process string
}

// EntryCopy is an upstream's entry as it was read.
type EntryCopy struct {
	Upstream core.UpstreamID
	Source   []byte
}

// Want asks for a snapshot.
type Want struct {
	// Version is that of the asker's catalog.
	Version uint64
	// Held asks for what is known of the engines' caches.
	Held bool
}

// Snapshot is what a router that can't read the store needs to serve.
type Snapshot struct {
	// Catalog is the source of the catalog; empty if the asker's is as new.
	Catalog []byte
	Entries []EntryCopy
	Held    []prefix.CachedPart
}

// Beat returns the next beat.
func (f *Fleet) Beat(now time.Time) Beat {
	var b Beat
	if c := f.Current(); c != nil {
		b.Version = c.Version
	}
	var dropped []core.UpstreamID
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		dropped = u.roster.PruneRemoved(now)
		for _, up := range u.roster.All() {
			if u.roster.AcceptsWork(now, up) {
				b.Known++
			}
		}
	})
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) {
		for _, id := range dropped {
			delete(l.byID, id)
		}
		for id, s := range l.byID {
			if s.load.Own > 0 {
				b.Running = append(b.Running, Running{Upstream: id, Count: s.load.Own})
			}
			if s.bad > 0 {
				b.Results = append(b.Results, Results{Upstream: id, Good: s.fine, Bad: s.bad})
			}
			s.fine, s.bad = 0, 0
			if s.rested && s.health.Resting(now) && !s.centre.Cut(now) {
				b.Resting = append(b.Resting, Resting{Upstream: id, ForMS: s.health.Until.Sub(now).Milliseconds()})
			}
		}
	})
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) {
		for _, id := range dropped {
			m.RemoveEngine(id)
		}
		m.Sweep(now)
		b.Held = m.TakeUpdates()
	})
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		s.forget(now)
		b.Crashes, s.told = s.told, nil
	})
	return b
}

// Receive takes a message in.
func (f *Fleet) Receive(now time.Time, from Member, m Message) Effects {
	f.heard(now, from)
	switch {
	case m.Beat != nil:
		return Effects{Reply: f.hear(now, from, *m.Beat)}
	case m.Want != nil:
		return Effects{Reply: &Message{Snapshot: f.snapshot(now, *m.Want)}}
	case m.Snapshot != nil:
		return f.learn(now, *m.Snapshot)
	case m.Read != nil:
		return f.told(now, *m.Read)
	}
	return Effects{}
}

// goodAge is how recent a good answer of the router's own must be to go before
// what another router says of an upstream.
const goodAge = 500 * time.Millisecond

func (f *Fleet) hear(now time.Time, from Member, b Beat) *Message {
	f.loads.Do(table.Hold{}, func(_ table.Hold, l *loads) {
		running := make(map[core.UpstreamID]int, len(b.Running))
		for _, r := range b.Running {
			running[r.Upstream] = r.Count
			l.of(r.Upstream)
		}
		for id, s := range l.byID {
			s.load.Hear(now, from.ID, running[id])
		}
		for _, r := range b.Results {
			l.of(r.Upstream).health.Count(now, r.Good, r.Bad)
		}
		// A router that lost contact with most upstreams is cut off itself.
		if 2*len(b.Resting) > b.Known {
			return
		}
		for _, r := range b.Resting {
			if s := l.of(r.Upstream); now.Sub(s.good) > goodAge {
				s.health.Hear(now, time.Duration(r.ForMS)*time.Millisecond)
			}
		}
	})
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) { m.AddFromPeer(now, b.Held, f.memory()) })
	f.suspects.Do(table.Hold{}, func(_ table.Hold, s *suspects) {
		for _, c := range b.Crashes {
			s.table.RecordCrash(now, c.Content, c.Process)
		}
	})
	teach := f.mayTeach(from.ID)
	if own := f.Version(); teach || b.Version > own || (b.Known > 0 && len(f.inService(now)) == 0) {
		return &Message{Want: &Want{Version: own, Held: teach}}
	}
	return nil
}

// Version returns the version of the catalog in force; zero if there is none.
func (f *Fleet) Version() uint64 {
	if c := f.Current(); c != nil {
		return c.Version
	}
	return 0
}

// memory returns the largest KV cache of a pool's engines, in tokens.
func (f *Fleet) memory() int {
	tokens := 0
	if c := f.Current(); c != nil {
		for _, p := range c.Pools {
			if p.Engine != nil {
				tokens = max(tokens, p.Engine.CacheTokens)
			}
		}
	}
	return tokens
}

func (f *Fleet) snapshot(now time.Time, w Want) *Snapshot {
	s := &Snapshot{}
	if c := f.Current(); c != nil && c.Version > w.Version {
		s.Catalog = c.Source
	}
	f.roster.Do(table.Hold{}, func(_ table.Hold, u *upstreams) {
		for _, up := range u.roster.All() {
			if u.roster.AcceptsWork(now, up) {
				s.Entries = append(s.Entries, EntryCopy{Upstream: up.ID, Source: up.Source})
			}
		}
	})
	if w.Held {
		s.Held = table.Read(f.parts, table.Hold{}, func(m *prefix.Map) []prefix.CachedPart { return m.All(now) })
	}
	return s
}

func (f *Fleet) learn(now time.Time, s Snapshot) Effects {
	var e Effects
	if len(s.Catalog) > 0 && f.settings.Catalog != nil {
		c, err := f.settings.Catalog(s.Catalog)
		if err != nil {
			e.Faults = append(e.Faults, err)
		} else if f.Configure(c) {
			e.Version = c.Version
		}
	}
	for _, copied := range s.Entries {
		entry, fault := f.entry(copied.Upstream, copied.Source)
		if fault != nil {
			e.Faults = append(e.Faults, fault)
			continue
		}
		e.Changes = append(e.Changes, f.put(now, table.Hold{}, func(r *roster.Roster) []roster.Change {
			return changed(r.PutUnconfirmed(now, *entry))
		})...)
	}
	f.parts.Do(table.Hold{}, func(_ table.Hold, m *prefix.Map) { m.AddFromPeer(now, s.Held, f.memory()) })
	return e
}

// entry reads the text of an entry that another router has told.
func (f *Fleet) entry(id core.UpstreamID, source []byte) (*roster.Entry, error) {
	if f.settings.Entry == nil {
		return nil, errors.Errorf("entry of upstream %s: no reader of entries", id)
	}
	e, err := f.settings.Entry(id, source)
	if err != nil {
		return nil, err
	}
	return &e, nil
}
