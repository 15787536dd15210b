package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/table"
)

// FullUpstream tells the other routers at once that an upstream has reached the bound of
// its pool. Until their heartbeats, routers that each send one request of the same chat
// would all send it there.
type FullUpstream struct {
	Upstream core.UpstreamID
	// Load is the number of requests at the upstream by its own report.
	Load int
	// PauseMS is for how long a brittle upstream that has turned a request away gets none, in
	// milliseconds; zero if it isn't brittle.
	PauseMS int64
}

// RecordLoad records a load report that an upstream has sent while it runs an attempt. It
// returns a message for all other routers if the upstream has reached the bound and this
// router didn't know that; else nil.
func (f *Fleet) RecordLoad(now time.Time, t Target, report load.Report) *Message {
	var full *Message
	peerAge, _ := f.countAge(now)
	f.states.Do(table.Hold{}, func(_ table.Hold, st *states) {
		s := st.get(t.ID)
		total, bound := report.Total(), st.bounds[t.Pool].Most
		if bound > 0 && total >= bound && s.load.Total(now, peerAge) < bound {
			full = &Message{FullUpstream: &FullUpstream{Upstream: t.ID, Load: total}}
		}
		s.load.ApplyReport(now, report)
		if report.Pace > 0 {
			st.recordBegin(now, t, report)
		}
	})
	return full
}

// applyFullUpstream applies a report that another router has received, if the upstream
// is known. The message took a number of milliseconds longer than the quickest ones.
func (f *Fleet) applyFullUpstream(now time.Time, full FullUpstream, delayMS int64) {
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		if _, known := u.roster.Get(full.Upstream); !known {
			return
		}
		f.states.Do(held, func(_ table.Hold, st *states) {
			s := st.get(full.Upstream)
			s.load.ApplyReport(agoMS(now, delayMS), load.Report{Running: full.Load})
			if pause := time.Duration(max(full.PauseMS, 0)) * time.Millisecond; pause > 0 {
				s.pauseUntil(now.Add(min(pause, rejectionPause)))
			}
		})
	})
}
