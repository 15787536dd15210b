package fleet

import (
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/health"
	"camphorpulley.org/core/rollout"
	"camphorpulley.org/core/table"
)

const (
	// sampleInterval is the time between two messages with a router's samples.
	sampleInterval = 500 * time.Millisecond
	// keptSamples bounds the samples that a router keeps to send them again to a new
	// conductor, and keptSampleTime their age: older ones say little of the load now.
	keptSamples    = 512
	keptSampleTime = 10 * time.Second
	// maxSentSamples bounds the samples of a message. Further ones wait for the next.
	maxSentSamples = 128
	// maxSampleTime bounds the time to the first byte that a message may state.
	maxSampleTime = time.Hour
	// maxSampleSize bounds the size class that a message may state.
	maxSampleSize = 64
)

// RolloutSamples tells the conductor of a roll-out the outcomes of a router's attempts.
type RolloutSamples struct {
	Pool core.Pool
	// Target, Offset and Era identify the order.
	Target      string
	Offset, Era uint64
	// First is the number of the first sample among all of the sender's process.
	First   uint64
	Samples []RolloutSample
	// Stage is the one that the sender keeps to, OldRunning the number of its requests at
	// old upstreams.
	Stage      rollout.Stage
	OldRunning int
}

// RolloutSample is a rollout.Sample of a message.
type RolloutSample struct {
	Route       string
	Size        int
	Upstream    core.UpstreamID
	New, Failed bool
	// FirstByteUS is the time to the first byte in microseconds, AgeMS that since the outcome
	// was known in milliseconds.
	FirstByteUS int64
	AgeMS       int64
}

// collection holds a router's own samples of the running roll-out.
type collection struct {
	samples []rollout.Sample
	// first is the number of the first kept sample, next that of the first one to be sent.
	first, next uint64
	// sentTo is the conductor to which they are sent.
	sentTo core.RouterID
	sentAt time.Time
	// heardFrom and incarnation are the conductor that was heard last and its process.
	heardFrom   core.RouterID
	incarnation core.Incarnation
}

// hearConductor records which process conducts. One that has restarted lacks the samples that
// the one before had, and gets them again.
func (c *collection) hearConductor(id core.RouterID, incarnation core.Incarnation) {
	if c.heardFrom == id && c.incarnation != incarnation {
		c.sentTo = ""
	}
	c.heardFrom, c.incarnation = id, incarnation
}

// add keeps a sample.
func (c *collection) add(s rollout.Sample) {
	c.samples = append(c.samples, s)
	if drop := len(c.samples) - keptSamples; drop > 0 {
		c.drop(drop)
	}
}

// drop forgets the oldest samples.
func (c *collection) drop(count int) {
	c.samples = slices.Delete(c.samples, 0, count)
	c.first += uint64(count)
	c.next = max(c.next, c.first)
}

// take returns the samples for the next message to a conductor, and the number of the first.
func (c *collection) take(now time.Time, conductor core.RouterID) (uint64, []rollout.Sample) {
	old := 0
	for old < len(c.samples) && now.Sub(c.samples[old].At) > keptSampleTime {
		old++
	}
	c.drop(old)
	if c.sentTo != conductor {
		c.sentTo, c.next = conductor, c.first
	}
	from := c.next
	unsent := c.samples[from-c.first:]
	unsent = unsent[:min(len(unsent), maxSentSamples)]
	c.next += uint64(len(unsent))
	return from, unsent
}

// recordSample records the outcome of an attempt if it says something of a release.
func (f *Fleet) recordSample(now time.Time, t Target, o health.Outcome) {
	a := t.Rollout
	if a == nil {
		return
	}
	s := rollout.Sample{Route: a.Route, Size: a.Size, Upstream: t.ID, DataCentre: t.DataCentre, New: a.New, At: now}
	switch o {
	case health.Good:
	case health.Failed, health.Slow, health.TimedOut:
		// An upstream that is left because it is silent would have answered late, if at all.
		s.Failed = true
	default:
		return
	}
	end := a.FirstByteAt
	if end.IsZero() {
		end = now
	}
	s.FirstByte = max(end.Sub(a.SentAt), 0)
	f.rollouts.Do(table.Hold{}, func(_ table.Hold, all *rollouts) {
		p := all.get(t.Pool)
		if p.ordered && !p.state.Stage.Final() && p.state.Order.Target == a.Order.Target && p.state.Order.Era == a.Order.Era {
			p.collected.add(s)
		}
	})
}

// oldRunning returns the number of this router's requests at the old upstreams of a pool.
func oldRunning(u *upstreams, st *states, o rollout.Order) int {
	running := 0
	for _, up := range u.roster.All() {
		if up.Pool == o.Pool && up.Release != o.Target {
			if s := st.byID[up.ID]; s != nil {
				running += s.load.Local
			}
		}
	}
	return running
}

// samplesMessage returns the next message with samples of a running roll-out; nil if there is
// nothing to say.
func (f *Fleet) samplesMessage(now time.Time, p *poolRollout, running int, conductor core.RouterID) *RolloutSamples {
	c := &p.collected
	if now.Sub(c.sentAt) < sampleInterval {
		return nil
	}
	first, samples := c.take(now, conductor)
	if len(samples) == 0 && p.state.Stage != rollout.Settling {
		return nil
	}
	c.sentAt = now
	o := p.state.Order
	m := &RolloutSamples{Pool: o.Pool, Target: o.Target, Offset: o.Offset, Era: o.Era, First: first, Stage: p.state.Stage, OldRunning: running}
	for _, s := range samples {
		m.Samples = append(m.Samples, RolloutSample{
			Route: s.Route, Size: s.Size, Upstream: s.Upstream, New: s.New, Failed: s.Failed, FirstByteUS: s.FirstByte.Microseconds(), AgeMS: now.Sub(s.At).Milliseconds(),
		})
	}
	return m
}

// sender is what a conductor has heard from one router.
type sender struct {
	incarnation core.Incarnation
	// next is the number of its next sample.
	next uint64
	// stage is the one that the router keeps to, running the number of its requests at old
	// upstreams.
	stage   rollout.Stage
	running int
}

// applyRolloutSamples adds the samples of another router, which counts this one as the
// conductor. Samples that it has sent before are dropped.
func (f *Fleet) applyRolloutSamples(now time.Time, from Member, m RolloutSamples, delayMS int64) {
	if !f.rolloutsConfigured() {
		return
	}
	var accepted []rollout.Sample
	var trial *table.Cell[rollout.Trial]
	f.roster.Do(table.Hold{}, func(held table.Hold, u *upstreams) {
		f.rollouts.Do(held, func(_ table.Hold, t *rollouts) {
			p := t.byPool[m.Pool]
			if p == nil || !p.ordered || p.state.Stage.Final() || p.state.Order.Target != m.Target || p.state.Order.Era != m.Era {
				return
			}
			if p.conduct.senders == nil {
				p.conduct.senders = map[core.RouterID]sender{}
			}
			s := p.conduct.senders[from.ID]
			if s.incarnation != from.Incarnation {
				s = sender{incarnation: from.Incarnation}
			}
			if skip := s.next - min(m.First, s.next); skip < uint64(len(m.Samples)) {
				accepted, trial = acceptedSamples(now, u, m.Pool, m.Samples[skip:], delayMS), p.conduct.trial
			}
			s.next = max(s.next, m.First+uint64(len(m.Samples)))
			s.stage, s.running = m.Stage, max(m.OldRunning, 0)
			p.conduct.senders[from.ID] = s
		})
	})
	if trial != nil {
		trial.Do(table.Hold{}, func(_ table.Hold, t *rollout.Trial) { t.Add(now, from.ID, accepted) })
	}
}

// acceptedSamples returns the samples of a message that can be true.
func acceptedSamples(now time.Time, u *upstreams, pool core.Pool, all []RolloutSample, delayMS int64) []rollout.Sample {
	accepted := make([]rollout.Sample, 0, min(len(all), maxSentSamples))
	for _, s := range all[:min(len(all), maxSentSamples)] {
		up, known := u.roster.Get(s.Upstream)
		if !known || up.Pool != pool || s.FirstByteUS < 0 || s.AgeMS < 0 || s.AgeMS > keptSampleTime.Milliseconds() || s.Size < 0 || s.Size > maxSampleSize {
			continue
		}
		accepted = append(accepted, rollout.Sample{
			Route: s.Route, Size: s.Size, Upstream: s.Upstream, DataCentre: up.DataCentre, New: s.New, Failed: s.Failed,
			FirstByte: time.Duration(min(s.FirstByteUS, maxSampleTime.Microseconds())) * time.Microsecond, At: agoMS(now, s.AgeMS+delayMS),
		})
	}
	return accepted
}

// presentReleases returns the releases that upstreams of a pool run.
func presentReleases(u *upstreams, pool core.Pool) map[string]bool {
	present := map[string]bool{}
	for _, up := range u.roster.All() {
		if up.Pool == pool && up.RemovedAt.IsZero() {
			present[up.Release] = true
		}
	}
	return present
}
