// Package demand estimates how often a fleet of routers gets requests with the same key from
// what a single router gets, without hearing from the others.
package demand

import (
	"time"

	"camphorpulley.org/core"
	"camphorpulley.org/core/ratelimit"
)

const (
	// span is the time within which requests are counted.
	span = 5 * time.Second
	// maxKeys bounds the number of keys. Requests with further keys aren't counted.
	maxKeys = 16384
)

// Keys counts the recent requests of one router by key. The zero value has none.
type Keys struct {
	byKey   map[core.Digest]*ratelimit.Window
	sweptAt time.Time
}

// Add counts a request.
func (k *Keys) Add(now time.Time, key core.Digest) {
	if now.Sub(k.sweptAt) >= span {
		k.sweep(now)
	}
	w := k.byKey[key]
	if w == nil {
		if len(k.byKey) >= maxKeys {
			return
		}
		if k.byKey == nil {
			k.byKey = map[core.Digest]*ratelimit.Window{}
		}
		w = &ratelimit.Window{}
		k.byKey[key] = w
	}
	w.Add(now)
}

// sweep drops the keys without recent requests.
func (k *Keys) sweep(now time.Time) {
	k.sweptAt = now
	for key, w := range k.byKey {
		if w.Count(now, span) == 0 {
			delete(k.byKey, key)
		}
	}
}

// Rate returns the estimated number of requests per second that a number of routers, among
// which callers choose at random, get with a key. A single request says nothing about the
// rate: most keys of a large fleet have one at the router that asks.
func (k *Keys) Rate(now time.Time, key core.Digest, routers int) float64 {
	w := k.byKey[key]
	if w == nil {
		return 0
	}
	repeated := max(w.Count(now, span)-1, 0)
	return float64(repeated) / span.Seconds() * float64(routers)
}
