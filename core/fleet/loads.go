package fleet

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/load"
	"camphorpulley.org/core/pace"
)

// state is what the router knows of one upstream from requests.
type state struct {
	health health.Record
	load   load.Book
	// cold counts the requests that were sent while the upstream was cold.
	cold pace.Window
	// good is when the last good answer came, alive when anything came.
	good, alive time.Time
	// fine and bad count the answers and failures since the last beat.
	fine, bad int
	// rested is set while the rest was begun by the router's own requests.
	rested bool
	// centre is the upstream's data centre; nil until a request was sent there.
	centre *health.Centre
}

// aliveAge is how recent a sign of life must be for an upstream that has lost a
// request to be taken for running: the events of a stream come more often.
const aliveAge = 300 * time.Millisecond

// lost reports whether contact was lost and nothing has come lately.
func (s *state) lost(now time.Time) bool {
	return s.health.Losses > 0 && now.Sub(s.alive) > aliveAge
}

// doubtful reports whether contact was lost and the upstream hasn't shown since
// that it answers.
func (s *state) doubtful(now time.Time) bool {
	return s.health.Resting(now) || s.health.Doubtful(now)
}

// rests reports whether the upstream is to be left alone: after a loss of contact
// it gets one request at a time.
func (s *state) rests(now time.Time) bool {
	return s.health.Resting(now) || (s.health.Doubtful(now) && s.load.Own > 0)
}

// seen takes in that something has come from the upstream.
func (s *state) seen(now time.Time) {
	s.alive = now
	if s.centre != nil {
		s.centre.Alive()
	}
}

// loads is the table of upstreams and of the ways to data centres. The zero value
// is empty.
type loads struct {
	byID    map[core.UpstreamID]*state
	centres map[core.DataCentre]*health.Centre
}

func (l *loads) of(id core.UpstreamID) *state {
	s := l.byID[id]
	if s == nil {
		if l.byID == nil {
			l.byID = map[core.UpstreamID]*state{}
		}
		s = &state{}
		l.byID[id] = s
	}
	return s
}

// centre returns what is known of the way to a data centre.
func (l *loads) centre(dc core.DataCentre) *health.Centre {
	c := l.centres[dc]
	if c == nil {
		if l.centres == nil {
			l.centres = map[core.DataCentre]*health.Centre{}
		}
		c = &health.Centre{}
		l.centres[dc] = c
	}
	return c
}
