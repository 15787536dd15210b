package pace

import "time"

const (
	// usualWeight is the weight of the newest interval in the usual one.
	usualWeight = 0.01
	// strainRatio is how many times the usual interval an interval must be for the engine to
	// count as slow: it reads a long prompt, or its host is slow.
	strainRatio = 1.8
	// minStrain is the least interval that counts.
	minStrain = 60 * time.Millisecond
)

// Cadence knows how often the engines of a pool usually send an event of a stream. The zero
// value knows nothing.
type Cadence struct {
	Usual time.Duration
}

// Record adds the interval between two events. It returns the pace of the engine in hundredths
// by that interval.
func (c *Cadence) Record(interval time.Duration) (hundredths int) {
	if c.Usual == 0 {
		c.Usual = interval
		return 0
	}
	ratio := float64(interval) / float64(c.Usual)
	c.Usual += time.Duration(usualWeight * (min(float64(interval), 2*float64(c.Usual)) - float64(c.Usual)))
	if interval < minStrain || ratio < strainRatio {
		return 100
	}
	return int(100 * ratio)
}
