// Package lineage decides at which software release a stream may go on. What two releases
// write doesn't fit together, releases have no order, and upstreams don't check them, so
// that a broken stream goes on only at the release that began it.
package lineage

// Origin is what is known of the beginning of a stream. The zero value is a stream that
// hasn't begun.
type Origin struct {
	// Begun reports whether the caller has received events of the stream.
	Begun bool
	// Known reports whether the release that began the stream is known, Release is its
	// name.
	Known   bool
	Release string
}

// Permits reports whether the stream may begin, or go on, at an upstream whose entry states
// a release. Certain reports whether the process there is known to be the one of the entry.
func (o Origin) Permits(release string, certain bool) bool {
	return !o.Begun || (o.Known && certain && release == o.Release)
}

// Knowledge is how a router knows at which release a stream began.
type Knowledge int

const (
	// Unsure means that the router doesn't know the releases that the pool has had during
	// the life of the stream.
	Unsure Knowledge = iota
	// Mixed means that the pool has had several releases during that time, and that the
	// router has no record of the stream.
	Mixed
	// Uniform means that the pool has had one release during that time.
	Uniform
	// Recorded means that the router that began the stream has recorded the release.
	Recorded
)

// String returns the name used in logs and messages.
func (s Knowledge) String() string {
	return [...]string{"unsure", "mixed", "uniform", "recorded"}[min(max(s, Unsure), Recorded)]
}

// Report is what one router knows of the beginning of a stream.
type Report struct {
	Knowledge Knowledge
	// Release is the release if Knowledge is Uniform or Recorded.
	Release string
}

// Resolve returns the origin of a stream that has begun. A record counts most. Without one,
// the release is known only if some router knows that the pool had a single one, and no
// router knows of another: a router may learn late that the pool is mixed.
func Resolve(all ...Report) Origin {
	o := Origin{Begun: true}
	for _, t := range all {
		if t.Knowledge == Recorded {
			return Origin{Begun: true, Known: true, Release: t.Release}
		}
	}
	for _, t := range all {
		switch {
		case t.Knowledge == Mixed, t.Knowledge == Uniform && o.Known && t.Release != o.Release:
			return Origin{Begun: true}
		case t.Knowledge == Uniform:
			o.Known, o.Release = true, t.Release
		}
	}
	return o
}
