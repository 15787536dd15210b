// Package order decides which router may run a request that runs at most once: the
// one whose claim on the key comes first in the platform's log.
package order

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorpulley.org/core"
)

// Key is a 128-bit digest of an account and an idempotency key.
type Key [2]core.Digest

// NewKey returns the digest of an account and its caller's idempotency key.
func NewKey(account core.Account, given string) Key {
	text := string(account) + "\x00" + given
	high := xxhash.NewWithSeed(1)
	high.WriteString(text)
	return Key{core.Digest(high.Sum64()), core.Digest(xxhash.Sum64String(text))}
}

// Claim is the record by which a router asks to run an order.
type Claim struct {
	Key Key
	// Body is the digest of the request's content.
	Body        core.Digest
	Router      core.RouterID
	Incarnation core.Incarnation
	// Serial distinguishes the claims of one incarnation.
	Serial uint64
}

// Result is the answer of an order that has run.
type Result struct {
	Status int
	// Digest is the hash of the answer's body.
	Digest core.Digest
	// ContentType and Body are the answer itself. Kept is true if Body holds it,
	// false if the answer was incomplete or larger than MaxBodyBytes.
	ContentType string
	Body        []byte
	Kept        bool
}

// State states whether a key is claimed and whether its order has run.
type State int

const (
	// Open means that no claim holds the key.
	Open State = iota
	// Claimed means that the order may be running or may have run.
	Claimed
	// Done means that the order has run and its result is known.
	Done
)

// Order is the winning claim on one key and what is known of its run.
type Order struct {
	Claim  Claim
	State  State
	Result Result
	// ClaimedAt is when this router read the winning claim.
	ClaimedAt time.Time
}

// heldBy reports whether claim c is the winning one.
func (o Order) heldBy(c Claim) bool {
	return o.State != Open && o.Claim.Router == c.Router &&
		o.Claim.Incarnation == c.Incarnation && o.Claim.Serial == c.Serial
}

// MaxBodyBytes is the largest answer that a result holds.
const MaxBodyBytes = 1024

// NewResult returns the result of an order. complete is false if only a part of
// the body was read. Of a body that is incomplete or larger than MaxBodyBytes the
// result holds only the digest.
func NewResult(status int, contentType string, body []byte, complete bool) Result {
	r := Result{Status: status, Digest: core.Digest(xxhash.Sum64(body)), ContentType: contentType}
	if complete && len(body) <= MaxBodyBytes {
		r.Body = append([]byte{}, body...)
		r.Kept = true
	}
	return r
}
