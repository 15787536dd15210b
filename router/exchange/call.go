// Package exchange carries a caller's request to an upstream and the answer
// back: it asks for permits, sends, retries, resumes, and says truthfully what
// became of a request that got no answer.
package exchange

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/pool"
)

// Call is a caller's request.
type Call struct {
	// ID names the request in logs and towards upstreams.
	ID      string
	Account account.Account
	Pool    pool.Pool
	// Key is the digest of the chat, or of the request if there is none.
	Key    core.Digest
	Method string
	URI    string
	Header []Header
	Body   []byte
	// Content is the digest of the body.
	Content core.Digest
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Once is set if the request may run at most once; OnceKey is the caller's
	// idempotency key.
	Once    bool
	OnceKey string
	// Same is set if every run gives the same answer.
	Same     bool
	Begun    time.Time
	Deadline time.Time
}

// Header is one header field that is passed on.
type Header struct {
	Name, Value string
}

const (
	// MaxAttempts is the largest number of upstreams to which one request is
	// sent or meant to be sent.
	MaxAttempts = 4
	// immediateTries is the number of upstreams that are asked for a permit in
	// one round.
	immediateTries = 3
	// askTimeout is how long a keeper may take to answer an ask at once.
	askTimeout = 100 * time.Millisecond
	// waitSlice is the longest wait at one upstream before others are asked.
	waitSlice = 250 * time.Millisecond
	// homeSlack is the time for a grant to come from another data centre at
	// the end of a wait.
	homeSlack = 10 * time.Millisecond
	// linger is how long a permit is kept after a stream was cut, so that the
	// upstream has noticed before another request comes.
	linger = 300 * time.Millisecond
	// bufferSize is the largest answer in bytes that is read whole before the
	// caller gets any of it, so that a broken one can be retried.
	bufferSize = 256 << 10
	// onceSize is the same for requests that may run only once, which can't be
	// retried but whose result is recorded.
	onceSize = 8 << 20
	// retryAfter is the advice to callers that are refused for lack of
	// capacity, in seconds.
	retryAfter = 1
)
