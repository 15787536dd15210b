package pace

import "time"

const (
	// readRate and fetchRate are the numbers of tokens that a usual engine reads, or fetches
	// from the cache of another one, in a millisecond. Fetching costs a seventh of reading
	// (docs/PLATFORM.md).
	readRate  = 100
	fetchRate = 700
	// minGain is the least gain, as a fraction of the caller's objective, for which a slow host
	// is left. Less is lost again in what the other engine has to read for later requests.
	minGain = 0.05
)

// Work is what an upstream has to do until its answer to a request begins.
type Work struct {
	// Base is how long that takes at a usual host without reading or fetching.
	Base time.Duration
	// Read and Fetch are the numbers of prompt tokens to read and to fetch.
	Read, Fetch int
	// Distance is the delay of the link there and back.
	Distance time.Duration
}

// reading returns how long reading and fetching take at a usual host.
func (w Work) reading() time.Duration {
	ms := float64(w.Read)/readRate + float64(w.Fetch)/fetchRate
	return time.Duration(ms * float64(time.Millisecond))
}

// Expected returns how long the work is expected to take at a host that takes factor times
// longer than usual.
func (w Work) Expected(factor float64) time.Duration {
	return time.Duration(max(factor, 1)*float64(w.Base+w.reading())) + w.Distance
}

// endangeredFrom is the fraction of the objective from which on an answer that is expected so late
// is in danger of missing it: run times vary, and others may begin to read there.
const endangeredFrom = 0.45

// Endangers reports whether an answer that is expected to begin after a time may miss the caller's
// objective. An engine that has the prompt isn't left before: another one would have to read it.
func Endangers(expected, objective time.Duration) bool {
	return float64(expected) >= endangeredFrom*float64(objective)
}

// Worthwhile reports whether an answer that begins sooner by a time is worth leaving a slow host
// for, in view of the caller's objective. Without an objective nothing is.
func Worthwhile(gain, objective time.Duration) bool {
	return objective > 0 && float64(gain) >= minGain*float64(objective)
}

// baseWeight is the weight of the newest answer in a Base.
const baseWeight = 0.1

// Base estimates the Base of the work of one kind of requests. The zero value knows none.
type Base struct {
	Mean  time.Duration
	known bool
}

// Record adds the time after which an answer began. Pace is that of the host in hundredths, w
// the work without its base.
func (b *Base) Record(took time.Duration, hundredths int, w Work) {
	if hundredths <= 0 {
		return
	}
	usual := float64(took-w.Distance) * 100 / float64(hundredths)
	base := max(time.Duration(usual)-w.reading(), 0)
	if !b.known {
		b.Mean, b.known = base, true
		return
	}
	b.Mean += time.Duration(baseWeight * float64(base-b.Mean))
}
