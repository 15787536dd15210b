// Package chat decides where the requests of a chat go.
package chat

import (
	"github.com/cespare/xxhash/v2"

	"camphorpulley.org/core"
)

// Opening is the number of bytes of the first messages that name a chat whose
// caller gives no key.
const Opening = 512

// Key returns the digest of a chat: of its key if the caller gave one, else of
// the opening messages. The account keeps equal keys of two callers apart.
func Key(account core.Account, given string, opening []byte) core.Digest {
	d := xxhash.New()
	d.WriteString(string(account))
	d.Write([]byte{0})
	if given != "" {
		d.WriteString(given)
		return core.Digest(d.Sum64())
	}
	d.Write(opening[:min(len(opening), Opening)])
	return core.Digest(d.Sum64())
}

// Score returns the rendezvous weight of a name for a key.
func Score(key core.Digest, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(key))
	d.WriteString(name)
	return d.Sum64()
}
