// Package conn holds the HTTP/1.1 connections to upstreams. It shows what the
// usual clients hide: whether bytes of a request were handed over, bytes that
// come after an answer, and whether an answer without a length was cut off.
package conn

import (
	"bufio"
	"context"
	"net"
	"time"

	"camphorpulley.org/base/dial"
	"camphorpulley.org/core/table"
)

// readBuffer is the size of a connection's read buffer in bytes: most events
// and plain answers fit.
const readBuffer = 4096

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader  *bufio.Reader
	address string
	// used is when the last answer ended, and until when the upstream keeps the
	// idle connection open.
	used, until time.Time
}

// Pool keeps idle connections. The zero value is empty.
type Pool struct {
	idle table.Cell[map[string][]*Conn]
}

// Terms bound the opening of a connection.
type Terms struct {
	// Timeout bounds a new connection.
	Timeout time.Duration
	// Idle is how long a kept connection may have been idle; zero always opens
	// a new one.
	Idle time.Duration
}

// Get returns a connection to an address.
func (p *Pool) Get(ctx context.Context, now time.Time, address string, t Terms) (*Conn, error) {
	for {
		c := p.take(now, address, t.Idle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := dial.TCP(ctx, address, t.Timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

// take returns the connection that was used last, if it is fit for use.
func (p *Pool) take(now time.Time, address string, idle time.Duration) *Conn {
	return table.Read(&p.idle, table.Hold{}, func(all *map[string][]*Conn) *Conn {
		conns := (*all)[address]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		if now.Sub(c.used) >= idle || now.After(c.until) {
			return nil
		}
		(*all)[address] = conns[:len(conns)-1]
		return c
	})
}

// Put keeps a connection for further requests. Keep is how long the upstream
// said that it keeps it open; zero if it didn't say.
func (p *Pool) Put(now time.Time, c *Conn, keep time.Duration) {
	if keep <= 0 {
		keep = longestIdle
	}
	c.used = now
	c.until = now.Add(min(keep-keepMargin, longestIdle))
	if c.Reader.Buffered() > 0 || !c.until.After(now) || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.idle.Do(table.Hold{}, func(_ table.Hold, all *map[string][]*Conn) {
		if *all == nil {
			*all = map[string][]*Conn{}
		}
		(*all)[c.address] = append((*all)[c.address], c)
	})
}

const (
	// longestIdle is how long idle connections are kept: below the time-outs
	// that upstreams commonly have.
	longestIdle = 10 * time.Second
	// keepMargin is how long before the upstream's time-out an idle connection
	// is no longer used, so that a request doesn't cross the close.
	keepMargin = 500 * time.Millisecond
)

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*Conn
	p.idle.Do(table.Hold{}, func(_ table.Hold, all *map[string][]*Conn) {
		for address, conns := range *all {
			kept := conns[:0:0]
			for _, c := range conns {
				if now.After(c.until) {
					old = append(old, c)
				} else {
					kept = append(kept, c)
				}
			}
			(*all)[address] = kept
			if len(kept) == 0 {
				delete(*all, address)
			}
		}
	})
	for _, c := range old {
		_ = c.Close()
	}
}
