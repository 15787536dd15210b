package fleet

import (
	"cmp"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/feed"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/core/table"
)

const (
	// readers is how many routers read the upstreams' entries and tell the others:
	// one may be cut off from the store.
	readers = 2
	// readerAge is how recently a router must have been heard to count on it: a few
	// beats also in a large fleet.
	readerAge = 2 * time.Second
	// longestRead is the longest time between two reads of a reader.
	longestRead = time.Second
	// readPart is the part of the drain time that may pass between two reads, and
	// latePart that after which a router reads for itself: the rest is for the read.
	readPart = 0.5
	latePart = 0.75
)

// Read is a part of the upstreams' feed as a router has read it. Records that
// change nothing may be missing.
type Read struct {
	// From and Next are the offsets of its first record and of the one after the
	// last.
	From, Next uint64
	// AgeMS is how many milliseconds before it was told the read began.
	AgeMS   int64
	Records []Record
}

// Record is what the store says of one upstream.
type Record struct {
	Offset   uint64
	Upstream core.UpstreamID
	// Source is the text of the entry; empty if it was removed.
	Source []byte
	// Entry is what the text says; nil if it was removed or can't be read.
	Entry *roster.Entry
}

func (f *Fleet) terms() feed.Timing {
	drain := float64(f.settings.Drain)
	return feed.Timing{
		ReadInterval: min(longestRead, time.Duration(readPart*drain)),
		MaxAge:       time.Duration(latePart * drain),
	}
}

// ReadDue returns how long the router waits before it reads the upstreams'
// entries. Failing says that its last read failed.
func (f *Fleet) ReadDue(now time.Time, failing bool) time.Duration {
	reader := f.reader(now)
	return table.Read(f.feed, table.Hold{}, func(p *feed.Progress) time.Duration {
		return p.ReadDelay(now, f.terms(), reader, failing)
	})
}

// ReadNext returns the offset from which the router reads on; false if it has to
// read all entries.
func (f *Fleet) ReadNext() (uint64, bool) {
	p := table.Read(f.feed, table.Hold{}, func(p *feed.Progress) feed.Progress { return *p })
	return p.Next, p.Synced
}

// Missed takes in that records were dropped before they were read.
func (f *Fleet) Missed() {
	f.feed.Do(table.Hold{}, func(_ table.Hold, p *feed.Progress) { p.MarkUnsynced() })
}

// ReadFailed takes in that the store didn't answer. It reports whether nobody
// else has lately told what the store says.
func (f *Fleet) ReadFailed(now time.Time) bool {
	var late bool
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		if late = p.Stale(now, f.terms()); late {
			f.roster.Do(held, func(_ table.Hold, u *upstreams) { u.roster.SetStoreAvailable(now, false) })
		}
	})
	return late
}

// ReadAll takes in all entries that the store holds, as read from a time on.
func (f *Fleet) ReadAll(now, began time.Time, next uint64, entries []roster.Entry) []roster.Change {
	var changes []roster.Change
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		f.roster.Do(held, func(_ table.Hold, u *upstreams) { u.roster.SetStoreAvailable(now, true) })
		changes = f.put(now, held, func(r *roster.Roster) []roster.Change { return r.ReplaceAll(now, entries) })
		p.Reset(next, began)
	})
	return changes
}

// ReadOn takes in what the router itself has read from a time on. It returns
// what is to be told to the others, nil if nothing is.
func (f *Fleet) ReadOn(now, began time.Time, r Read) ([]roster.Change, *Read) {
	tells := f.reader(now)
	var changes []roster.Change
	told := Read{From: r.From, Next: r.Next, AgeMS: now.Sub(began).Milliseconds()}
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		tells = tells || p.Stale(now, f.terms())
		if !p.Continues(r.From, r.Next) {
			return
		}
		// What others told meanwhile they have told already, or will again.
		told.From = max(r.From, p.Next)
		changes, told.Records = f.take(now, began, held, p, r, true)
	})
	if !tells {
		return changes, nil
	}
	return changes, &told
}

// told takes in what another router has read. What doesn't continue what the
// router knows counts as hearsay, and the router reads for itself.
func (f *Fleet) told(now time.Time, r Read) Effects {
	var e Effects
	for i, rec := range r.Records {
		if len(rec.Source) == 0 {
			continue
		}
		var fault error
		if r.Records[i].Entry, fault = f.entry(rec.Upstream, rec.Source); fault != nil {
			e.Faults = append(e.Faults, fault)
		}
	}
	began := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	f.feed.Do(table.Hold{}, func(held table.Hold, p *feed.Progress) {
		if p.Continues(r.From, r.Next) {
			e.Changes, _ = f.take(now, began, held, p, r, false)
			return
		}
		for _, rec := range r.Records {
			if rec.Entry == nil {
				continue
			}
			e.Changes = append(e.Changes, f.put(now, held, func(s *roster.Roster) []roster.Change {
				return changed(s.PutUnconfirmed(now, *rec.Entry))
			})...)
		}
	})
	return e
}

// take applies the records of a part that fits, without those that are known. It
// returns the changes and the records that made them.
func (f *Fleet) take(now, began time.Time, held table.Hold, p *feed.Progress, r Read, own bool) ([]roster.Change, []Record) {
	f.roster.Do(held, func(_ table.Hold, u *upstreams) { u.roster.SetStoreAvailable(now, true) })
	var changes []roster.Change
	var told []Record
	for _, rec := range r.Records {
		if rec.Offset < p.Next {
			continue
		}
		made := f.put(now, held, func(s *roster.Roster) []roster.Change {
			if rec.Entry == nil {
				return changed(s.Remove(now, rec.Upstream))
			}
			return changed(s.Put(now, *rec.Entry))
		})
		if len(made) > 0 {
			changes, told = append(changes, made...), append(told, rec)
		}
	}
	p.Advance(r.Next, began, own)
	confirmed := f.put(now, held, func(s *roster.Roster) []roster.Change { return s.RemoveUnconfirmed(now, began) })
	return append(changes, confirmed...), told
}

// changed returns the change that a rule of the roster reports, if any.
func changed(c roster.Change, ok bool) []roster.Change {
	if !ok {
		return nil
	}
	return []roster.Change{c}
}

// reader reports whether the router is one of those that read the entries and
// tell the others: the first by rendezvous among those that are heard, and the
// first of another data centre.
func (f *Fleet) reader(now time.Time) bool {
	self := Member{ID: f.settings.ID, DataCentre: f.settings.DataCentre}
	heard := []Member{self}
	f.members.Do(table.Hold{}, func(_ table.Hold, p *members) {
		for _, m := range p.byID {
			if !m.heard.IsZero() && now.Sub(m.heard) < readerAge {
				heard = append(heard, m.Member)
			}
		}
	})
	key := chat.Key("", "readers", nil)
	slices.SortFunc(heard, func(a, b Member) int {
		return cmp.Compare(chat.Score(key, string(b.ID)), chat.Score(key, string(a.ID)))
	})
	second := slices.IndexFunc(heard, func(m Member) bool { return m.DataCentre != heard[0].DataCentre })
	if second < 0 {
		second = min(readers, len(heard)) - 1
	}
	return heard[0].ID == self.ID || heard[second].ID == self.ID
}
