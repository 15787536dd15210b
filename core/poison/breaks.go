package poison

import (
	"slices"
	"time"

	"camphorpulley.org/core"
)

const (
	// restartWindow is how long after a broken connection another process still shows that the
	// one before has crashed: an upstream needs some seconds to restart.
	restartWindow = 20 * time.Second
	// answerDelay is how much later than a broken connection something may be read that the
	// process had sent before.
	answerDelay = 100 * time.Millisecond
	// maxBreaks bounds the broken connections that are kept: a partition breaks many.
	maxBreaks = 4096
)

// Break is a request whose connection to an upstream process broke.
type Break struct {
	Content core.Digest
	// Process is the name of the process, Upstream, Address and Pool are those of its entry.
	Process  string
	Upstream core.UpstreamID
	Address  string
	Pool     core.Pool
	At       time.Time
	// Gone is true once the entry of the process was removed.
	Gone bool
}

// Process is an upstream process that has appeared.
type Process struct {
	Upstream core.UpstreamID
	Address  string
	Pool     core.Pool
}

// Breaks finds the broken connections that crashes caused, among those that resets and partitions
// caused. A process has crashed if another one appears under its id or at its address, or if its
// entry is removed and another one appears in the pool: an upstream may come back with another id
// and address. The zero value has none.
type Breaks struct {
	open []Break
	// newcomers are the processes that have appeared and replace none that is known.
	newcomers []newcomer
}

// newcomer is a process that has appeared in a pool.
type newcomer struct {
	pool core.Pool
	at   time.Time
}

// Record adds a broken connection.
func (b *Breaks) Record(br Break) {
	if len(b.open) >= maxBreaks {
		b.open = slices.Delete(b.open, 0, 1)
	}
	b.open = append(b.open, br)
}

// Appeared records that a process has appeared, and returns the broken connections that were
// crashes.
func (b *Breaks) Appeared(now time.Time, p Process) []Break {
	b.Expire(now)
	crashes := b.take(func(br Break) bool { return br.Upstream == p.Upstream || br.Address == p.Address })
	if len(crashes) > 0 {
		return crashes
	}
	b.newcomers = append(b.newcomers, newcomer{pool: p.Pool, at: now})
	return b.replaced()
}

// Left records that the entry of a process was removed without notice, and returns the broken
// connections that were crashes. The process was last heard from at lastSeen.
func (b *Breaks) Left(now time.Time, process string, lastSeen time.Time) []Break {
	b.Expire(now)
	b.take(func(br Break) bool { return br.Process == process && lastSeen.Sub(br.At) > answerDelay })
	for i := range b.open {
		b.open[i].Gone = b.open[i].Gone || b.open[i].Process == process
	}
	return b.replaced()
}

// Returned records that the entry of a process is there again.
func (b *Breaks) Returned(process string) {
	for i := range b.open {
		b.open[i].Gone = b.open[i].Gone && b.open[i].Process != process
	}
}

// Expire drops what happened too long ago.
func (b *Breaks) Expire(now time.Time) {
	b.take(func(br Break) bool { return now.Sub(br.At) > restartWindow })
	b.newcomers = slices.DeleteFunc(b.newcomers, func(n newcomer) bool { return now.Sub(n.at) > restartWindow })
}

// replaced returns the broken connections to processes that are gone and that newcomers replace.
// Each newcomer replaces one process.
func (b *Breaks) replaced() []Break {
	var crashes []Break
	for _, br := range slices.Clone(b.open) {
		if !br.Gone || slices.ContainsFunc(crashes, func(c Break) bool { return c.Process == br.Process }) {
			continue
		}
		i := slices.IndexFunc(b.newcomers, func(n newcomer) bool { return n.pool == br.Pool && n.at.After(br.At) })
		if i < 0 {
			continue
		}
		b.newcomers = slices.Delete(b.newcomers, i, i+1)
		crashes = append(crashes, b.take(func(o Break) bool { return o.Process == br.Process })...)
	}
	return crashes
}

// take removes the broken connections that match and returns them.
func (b *Breaks) take(matches func(Break) bool) []Break {
	var taken []Break
	b.open = slices.DeleteFunc(b.open, func(br Break) bool {
		if matches(br) {
			taken = append(taken, br)
			return true
		}
		return false
	})
	return taken
}
