package rollout

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/ratelimit"
)

// Sample is the outcome of one attempt that ended with an answer or a failure of the upstream.
// Contact failures, rejections (not run), misdirected requests, breaks and callers that left
// are no samples.
type Sample struct {
	Route string
	// Size is the SizeClass of the tokens that the upstream had to read: of a prompt, those
	// that it isn't known to have cached. A new upstream has nothing cached, and would look
	// slow if the size of the whole prompt counted.
	Size     int
	Upstream core.UpstreamID
	// DataCentre is that of the upstream. A slow data centre says nothing about a release.
	DataCentre core.DataCentre
	New        bool
	Failed     bool
	// FirstByte is the time from sending the request to the first byte of the answer.
	FirstByte time.Duration
	// At is when the outcome was known.
	At time.Time
}

const (
	// maxSize is the class of the largest prompts.
	maxSize = 24
	// smallPrompt is the number of tokens below which prompts are alike: what they take is
	// mostly not reading.
	smallPrompt = 64
)

// SizeClass returns the size class of a number of tokens. Each class is twice as large as the
// one before, so that times within a class differ less than a slow release does.
func SizeClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0)/smallPrompt)), maxSize)
}

const (
	// slotTime is the time within which outcomes count as of the same moment.
	slotTime = time.Second
	// maxSlots bounds the slots: what is older says little about now.
	maxSlots = 64
	// maxKept bounds the samples of each side in a slot. Of more, a random part is kept.
	maxKept = 768
	// maxSpans bounds the batches of a router that are known, and maxNames the routers, routes,
	// data centres and upstreams that are told apart.
	maxSpans = 16
	maxNames = 4096
	// futureTime is how far ahead of the conductor's clock a sample may be.
	futureTime = 2 * time.Second
)

// record is a sample in brief.
type record struct {
	route, centre, upstream, router uint16
	size                            int8
	failed                          bool
	// seconds is FirstByte.
	seconds float32
}

// side is what a slot keeps of the samples of one release.
type side struct {
	kept []record
	// seen counts the samples, and failed those that are failures.
	seen, failed int
}

// slot holds the samples of slotTime.
type slot struct {
	index    int64
	old, new side
	// sum is what the samples say together; nil if some came since it was made.
	sum *summary
}

// Trial gathers the samples of all routers at the conductor. Its memory is bounded. The zero
// value has no samples.
type Trial struct {
	// slots are in the order of time, and steps numbers them.
	slots     []*slot
	steps     ratelimit.Steps
	routes    names[string]
	centres   names[core.DataCentre]
	upstreams names[core.UpstreamID]
	routers   names[core.RouterID]
	received  map[core.RouterID][]span
	random    *rand.Rand
	// last is the verdict made at judgedAt.
	last     Verdict
	judgedAt time.Time
}

// names numbers names from one; those beyond maxNames are zero.
type names[T comparable] map[T]uint16

func (n *names[T]) number(name T) uint16 {
	if *n == nil {
		*n = names[T]{}
	}
	i, known := (*n)[name]
	if !known && len(*n) < maxNames {
		i = uint16(len(*n) + 1)
		(*n)[name] = i
	}
	return i
}

// span is the time from the first to the last sample of a batch.
type span struct{ first, last time.Time }

// Add adds the samples that a router has sent. Samples that it sends again are dropped: those
// from within the time of an earlier batch.
func (t *Trial) Add(now time.Time, from core.RouterID, samples []Sample) {
	earlier := t.received[from]
	var batch span
	for _, s := range samples {
		again := slices.ContainsFunc(earlier, func(b span) bool { return !s.At.Before(b.first) && !s.At.After(b.last) })
		if again || s.At.After(now.Add(futureTime)) || !s.At.After(now.Add(-maxSlots*slotTime)) {
			continue
		}
		if batch.first.IsZero() || s.At.Before(batch.first) {
			batch.first = s.At
		}
		if s.At.After(batch.last) {
			batch.last = s.At
		}
		t.add(from, s)
	}
	if batch.first.IsZero() {
		return
	}
	if t.received == nil {
		t.received = map[core.RouterID][]span{}
	}
	if _, known := t.received[from]; known || len(t.received) < maxNames {
		t.received[from] = append(earlier[max(0, len(earlier)-maxSpans+1):len(earlier):len(earlier)], batch)
	}
}

func (t *Trial) add(from core.RouterID, s Sample) {
	sl := t.slotOf(t.steps.At(s.At, slotTime))
	if sl == nil {
		return
	}
	sl.sum = nil
	r := record{
		route: t.routes.number(s.Route), centre: t.centres.number(s.DataCentre),
		upstream: t.upstreams.number(s.Upstream), router: t.routers.number(from),
		size: int8(min(max(s.Size, 0), maxSize)), failed: s.Failed, seconds: float32(s.FirstByte.Seconds()),
	}
	d := &sl.old
	if s.New {
		d = &sl.new
	}
	d.seen++
	if s.Failed {
		d.failed++
	}
	if len(d.kept) < maxKept {
		d.kept = append(d.kept, r)
		return
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(1, 1)) // which samples are kept is the same in each run
	}
	if i := t.random.IntN(d.seen); i < maxKept {
		d.kept[i] = r
	}
}

// slotOf returns the slot of an index, or nil if there are too many later ones.
func (t *Trial) slotOf(index int64) *slot {
	i, found := slices.BinarySearchFunc(t.slots, index, func(s *slot, index int64) int { return int(s.index - index) })
	if found {
		return t.slots[i]
	}
	if len(t.slots) >= maxSlots {
		if i == 0 {
			return nil
		}
		t.slots = slices.Delete(t.slots, 0, 1)
		i--
	}
	s := &slot{index: index}
	t.slots = slices.Insert(t.slots, i, s)
	return s
}
