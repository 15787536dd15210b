// Package exchange forwards a caller's request to an upstream and returns the
// response. It serves the program camphorpulley, where package frontend calls it;
// package relay does the same for the program camphorpulley-platform. It
// acquires a permit, sends the request, retries it on other upstreams and
// resumes broken event streams. A refusal states whether the request may have
// run.
package exchange

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/pool"
)

// Call is a request of a caller.
type Call struct {
	// ID identifies the request in logs and to upstreams.
	ID string
	// IDGiven is true if the caller has chosen ID, so that others of its requests may have
	// the same.
	IDGiven bool
	Account account.Account
	Pool    pool.Pool
	// AffinityKey is the digest of the chat key; without one, of the start of a
	// chat's messages or the id of an application's request. Requests with the
	// same key prefer the same upstream.
	AffinityKey core.Digest
	Method      string
	URI         string
	Headers     []HeaderField
	Body        []byte
	// ContentDigest is the digest of the request's content, by which a request
	// that was running when an upstream crashed is recognised.
	ContentDigest core.Digest
	// Stream is true if the caller asked for an event stream.
	Stream bool
	// AtMostOnce is true if the request may run at most once. IdempotencyKey is
	// then the key that the caller chose.
	AtMostOnce     bool
	IdempotencyKey string
	// Deterministic is true if every run of the request gives the same
	// response.
	Deterministic bool
	StartedAt     time.Time
	Deadline      time.Time
}

// HeaderField is a header field that is forwarded.
type HeaderField struct {
	Name, Value string
}

const (
	// MaxAttempts is the largest number of attempts for one request, including
	// those that could not be sent.
	MaxAttempts = 4
	// candidatesPerRound is the number of upstreams that are asked for a permit
	// in one round.
	candidatesPerRound = 3
	// permitTimeout is how long the reply to a permit request may take if the
	// coordinator must decide at once.
	permitTimeout = 100 * time.Millisecond
	// maxWaitPerUpstream is the longest wait at the first candidate before the
	// others are tried again. In the first round CacheWait applies instead.
	maxWaitPerUpstream = 250 * time.Millisecond
	// grantTransitTime is added to a wait, so that a grant made at its end can
	// still arrive from another data centre.
	grantTransitTime = 10 * time.Millisecond
	// releaseDelay is the time from the end of a broken or abandoned attempt to
	// the release of its permit. The upstream notices the closed connection
	// in that time, before the permit admits another request.
	releaseDelay = 300 * time.Millisecond
	// maxBufferedBody is the largest response body in bytes that is read whole
	// before the caller gets any of it, so that a broken one can be retried.
	maxBufferedBody = 256 << 10
	// maxAtMostOnceBody is the same limit for requests that may run at most
	// once. They can't be retried, but their result is recorded.
	maxAtMostOnceBody = 8 << 20
	// retryAfter is when a caller may return after a refusal for lack of a
	// permit.
	retryAfter = time.Second
)
