// Package chat chooses the upstreams for the requests of a chat.
package chat

import (
	"github.com/cespare/xxhash/v2"

	"camphorpulley.org/core"
)

// OpeningBytes is the number of bytes at the start of the messages that identify a
// chat whose caller gives no key.
const OpeningBytes = 512

// Key returns the digest that identifies a chat: of the caller's key if one was
// given, otherwise of the start of the messages. The digest includes the account,
// so that equal keys of two accounts differ.
func Key(account core.Account, given string, opening []byte) core.Digest {
	d := xxhash.New()
	d.WriteString(string(account))
	d.Write([]byte{0})
	if given != "" {
		d.WriteString(given)
		return core.Digest(d.Sum64())
	}
	d.Write(opening[:min(len(opening), OpeningBytes)])
	return core.Digest(d.Sum64())
}

// Score returns the rendezvous hash of a name for a key. The name with the
// highest score comes first.
func Score(key core.Digest, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(key))
	d.WriteString(name)
	return d.Sum64()
}
