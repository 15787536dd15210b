package rollout

import (
	"time"

	"camphorpulley.org/core"
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

// SizeClass returns the size class of a number of tokens.
func SizeClass(tokens int) int { return 0 }

// Trial gathers the samples of all routers at the conductor. Its memory is bounded.
type Trial struct{}

// Add adds the samples that a router has sent. Samples that it sends again are dropped.
func (t *Trial) Add(now time.Time, from core.RouterID, samples []Sample) {}

// Verdict is what the samples say about the new release.
type Verdict struct {
	// Bad is true if the new release is worse than the old one.
	Bad bool
	// Enough is true if the samples suffice to move the requests over.
	Enough bool
	// Reason states what the verdict rests on.
	Reason                                 string
	OldAnswers, OldBad, NewAnswers, NewBad int
}

// Verdict compares the new release with the old one.
func (t *Trial) Verdict(now time.Time) Verdict { return Verdict{} }
