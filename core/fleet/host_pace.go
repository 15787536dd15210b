package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/pace"
	"camphorpulley.org/core/table"
)

// HostPace tells the other routers at once that the host of an upstream has become slow, goes on
// being slow, or is as usual again. Each router hears of an engine only every few seconds, and a
// host is slow for less than one.
type HostPace struct {
	Upstream core.UpstreamID
	// Hundredths is how long work takes on the host, in hundredths of what is usual.
	Hundredths int
	// AgeMS is the time since the upstream's response that stated it, in milliseconds.
	AgeMS int64
}

// PaceBatch is the time for which a router gathers what it hears of hosts before it tells the
// others.
const PaceBatch = 5 * time.Millisecond

// RecordPace records the pace that an upstream has stated in a response that has just arrived;
// reports without one change nothing. It reports whether TakeHostPaces is to be called after
// PaceBatch.
func (f *Fleet) RecordPace(now time.Time, t Target, report load.Report) (gathering bool) {
	if report.Pace <= 0 {
		return false
	}
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		st.paceStated = true
		gathering = st.observePace(now, t.ID, report.Pace)
	})
	return gathering
}

// observePace records a pace that this router has observed. It reports whether others are to be
// told of it and of none before.
func (st *states) observePace(now time.Time, id core.UpstreamID, hundredths int) bool {
	if !st.get(id).pace.Observe(now, hundredths) {
		return false
	}
	st.untold = append(st.untold, id)
	return len(st.untold) == 1
}

// RecordRun records that an attempt has ended well, with the report in the response; nil if
// there was none, or if it was recorded before. Where some upstream states the pace of its host,
// run times tell that of applications, which state none. It reports whether TakeHostPaces is to
// be called after PaceBatch.
func (f *Fleet) RecordRun(now time.Time, t Target, report *load.Report) (gathering bool) {
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		switch {
		case !st.paceStated:
		case report != nil && report.Pace > 0:
			st.recordBegin(now, t, *report)
		case !t.Engine:
			took := now.Sub(t.ChosenAt)
			if !st.get(t.ID).pace.Slow(now) {
				st.base(t.Route).Record(took, 100, pace.Work{})
			}
			if hundredths := st.runsOf(t.Route).Record(now, t.ID, took); hundredths > 0 {
				gathering = st.observePace(now, t.ID, hundredths)
			}
		}
	})
	return gathering
}

// recordBegin records that the answer to an attempt has begun.
func (st *states) recordBegin(now time.Time, t Target, report load.Report) {
	st.base(t.Route).Record(now.Sub(t.ChosenAt), report.Pace, t.Work)
}

// TakeHostPaces returns the message to all other routers about the hosts of which they are to be
// told; nil if there are none. What another router has told in the meantime is left out. While
// messages take longer than pace.MaxDelay on average there is none: since no router would hear in
// time that others have told, each would tell all.
func (f *Fleet) TakeHostPaces(now time.Time) *Message {
	var all []HostPace
	late := table.Read(f.members, table.Hold{}, func(t *members) bool { return t.delays.mean >= pace.MaxDelay })
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		for _, id := range st.untold {
			if s := st.byID[id]; s != nil && s.pace.Own && !late {
				all = append(all, HostPace{Upstream: id, Hundredths: s.pace.Hundredths, AgeMS: max(now.Sub(s.pace.At).Milliseconds(), 0)})
			}
		}
		st.untold = st.untold[:0]
	})
	if len(all) == 0 {
		return nil
	}
	return &Message{HostPaces: all}
}

// mergePaces records what another router has heard of hosts. The message took a number of
// milliseconds longer than the quickest ones. It returns the paces with their ages at its arrival.
func (f *Fleet) mergePaces(now time.Time, all []HostPace, delayMS int64) []HostPace {
	aged := make([]HostPace, 0, len(all))
	for _, p := range all {
		if p.Hundredths > 0 && p.Hundredths <= pace.MaxHundredths && p.AgeMS <= maxReportAgeMS {
			p.AgeMS = max(p.AgeMS, 0) + delayMS
			aged = append(aged, p)
		}
	}
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.states.Do(held, func(_ table.Hold, st *states) {
			for _, p := range aged {
				if _, known := u.roster.Get(p.Upstream); known {
					st.paceStated = true
					st.get(p.Upstream).pace.Learn(agoMS(now, p.AgeMS), p.Hundredths)
				}
			}
		})
	})
	return aged
}

// passOnPaces returns the messages that pass on to the local data centre what a router of
// another one has told of hosts.
func (f *Fleet) passOnPaces(now time.Time, from Member, aged []HostPace) []Envelope {
	if len(aged) == 0 {
		return nil
	}
	return f.passOn(now, from, Message{HostPaces: aged})
}

// SlowUpstreams returns the number of upstreams whose hosts are known to be slow.
func (f *Fleet) SlowUpstreams(now time.Time) int {
	return table.Read(f.states, table.Hold{}, func(st *states) int {
		n := 0
		for _, s := range st.byID {
			if s.pace.Slow(now) {
				n++
			}
		}
		return n
	})
}

// base returns what is known of the answers on a route, creating it on first use.
func (st *states) base(route string) *pace.Base {
	b := st.bases[route]
	if b == nil {
		if st.bases == nil {
			st.bases = map[string]*pace.Base{}
		}
		b = &pace.Base{}
		st.bases[route] = b
	}
	return b
}

// runsOf returns the recent runs of a route's requests, creating them on first use.
func (st *states) runsOf(route string) *pace.Runs {
	r := st.runs[route]
	if r == nil {
		if st.runs == nil {
			st.runs = map[string]*pace.Runs{}
		}
		r = &pace.Runs{}
		st.runs[route] = r
	}
	return r
}
