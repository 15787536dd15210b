// Package order holds requests that run at most once. Who may run one is
// decided by the platform's log: the first claim on a key wins.
package order

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorpulley.org/core"
)

// Key is a 128-bit digest of an account and an idempotency key.
type Key [2]core.Digest

// NewKey returns the digest of a caller's idempotency key.
func NewKey(account core.Account, given string) Key {
	text := string(account) + "\x00" + given
	high := xxhash.NewWithSeed(1)
	high.WriteString(text)
	return Key{core.Digest(high.Sum64()), core.Digest(xxhash.Sum64String(text))}
}

// Claim is a record that a router means to run an order.
type Claim struct {
	Key Key
	// Body is the digest of the request.
	Body        core.Digest
	Router      core.RouterID
	Incarnation core.Incarnation
	// Serial tells the claims of one incarnation apart.
	Serial uint64
}

// Result is what became of an order that ran.
type Result struct {
	Status int
	// Digest of the answer's body.
	Digest core.Digest
	// ContentType and Body are the answer itself; Kept is set where it is
	// small enough.
	ContentType string
	Body        []byte
	Kept        bool
}

// State is what is known of a key.
type State int

const (
	// Open means that nobody has a claim.
	Open State = iota
	// Claimed means that the order may be running or have run.
	Claimed
	// Done means that it has run and its result is known.
	Done
)

// Order is the aggregate of all claims on one key.
type Order struct {
	Claim  Claim
	State  State
	Result Result
	// At is when the own router read the claim.
	At time.Time
}

// holds reports whether claim c is the one that won.
func (o Order) holds(c Claim) bool {
	return o.State != Open && o.Claim.Router == c.Router &&
		o.Claim.Incarnation == c.Incarnation && o.Claim.Serial == c.Serial
}

// MaxBody is the largest answer in bytes that a result keeps.
const MaxBody = 1024

// NewResult returns the result of an order. A body that is too large, or of
// which only a part was read, is kept as its digest.
func NewResult(status int, contentType string, body []byte, whole bool) Result {
	r := Result{Status: status, Digest: core.Digest(xxhash.Sum64(body)), ContentType: contentType}
	if whole && len(body) <= MaxBody {
		r.Body = append([]byte{}, body...)
		r.Kept = true
	}
	return r
}
