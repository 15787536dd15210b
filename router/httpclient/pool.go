// Package httpclient is an HTTP/1.1 client for upstreams with a connection pool.
// Package relay uses it in the program camphorpulley-platform; the program
// camphorpulley uses package backend instead. Unlike with net/http, opening a
// connection and sending a request are separate calls, so that the caller knows
// whether anything was sent. Bytes that follow a response make its connection
// unusable. A response without a length counts as whole unless its connection is
// reset.
package httpclient

import (
	"bufio"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"camphorpulley.org/base/dial"
	"camphorpulley.org/core/table"
)

// readBufferBytes is the size of a connection's read buffer. Most events and
// buffered responses fit.
const readBufferBytes = 4096

// Conn is a connection to an upstream.
type Conn struct {
	*dial.Conn
	Reader *bufio.Reader
	// limit bounds what Reader reads while a head is expected, and wait for how long it waits.
	limit   *dial.HeadLimit
	wait    *boundedWait
	address string
	// serial numbers the connections of a pool from one on.
	serial uint64
	// reused is true if the connection has carried a request before.
	reused bool
	// unnamed is true if the connection has carried a request without an id.
	unnamed bool
	// identified is true once the process at the other end has stated its start, startedMS.
	identified bool
	startedMS  int64
	// excluded holds the ids of the requests that the connection must not carry again.
	excluded []string
	// lastUsed is when the last response ended. After expiresAt, the idle
	// connection isn't used, because the upstream may close it. Stated is true if the upstream has
	// stated for how long it keeps the connection.
	lastUsed, expiresAt time.Time
	stated              bool
	// afterEarlyClose is as in AfterEarlyClose.
	afterEarlyClose bool
}

// Reused reports whether the connection has carried a request before. A late copy of an
// earlier response may then arrive in place of the expected one.
func (c *Conn) Reused() bool { return c.reused }

// CarriedUnnamed reports whether the connection has carried a request without an id. A late
// copy of its response, which has no id either, may then arrive in place of the expected one.
func (c *Conn) CarriedUnnamed() bool { return c.unnamed }

// AfterEarlyClose reports whether the pool, as it sought the connection, has found one to the same
// address that the upstream had closed earlier than it had stated: its process may have ended.
func (c *Conn) AfterEarlyClose() bool { return c.afterEarlyClose }

// closedEarly reports whether the upstream has closed an idle connection earlier than it had stated.
func (c *Conn) closedEarly(now time.Time, state idleState) bool {
	return state == idleClosed && c.stated && now.Before(c.expiresAt)
}

// Serial returns the number of the connection among those that its pool has opened.
func (c *Conn) Serial() uint64 { return c.serial }

// Identify records the start that the process at the other end has stated, in milliseconds since
// the Unix epoch. A connection leads to one process for as long as it is open.
func (c *Conn) Identify(startedMS int64) { c.identified, c.startedMS = true, startedMS }

// LeadsTo reports whether the process at the other end has stated a start.
func (c *Conn) LeadsTo(startedMS int64) bool { return c.identified && c.startedMS == startedMS }

// Pool holds idle connections by address. The zero value is empty.
type Pool struct {
	idle table.Cell[map[string][]*Conn]
	// opened is the number of connections that were opened.
	opened atomic.Uint64
}

// Options are what Pool.Get goes by.
type Options struct {
	// ConnectTimeout bounds the opening of a new connection.
	ConnectTimeout time.Duration
	// MaxIdle is how long a pooled connection may have been idle; zero always
	// opens a new one.
	MaxIdle time.Duration
	// RequestID is the request that the connection is for; empty for any. A connection
	// from which it is excluded isn't used.
	RequestID string
}

// Get returns a pooled connection to an address that was idle for less than
// o.MaxIdle and can be used again, or opens a new one. The error is that of the
// dialler.
func (p *Pool) Get(ctx context.Context, now time.Time, address string, o Options) (*Conn, error) {
	afterEarlyClose := false
	for {
		c := p.take(now, address, o)
		if c == nil {
			break
		}
		state := c.peek()
		if state == idleOpen {
			c.afterEarlyClose = afterEarlyClose
			return c, nil
		}
		afterEarlyClose = afterEarlyClose || c.closedEarly(now, state)
		_ = c.Close()
	}
	raw, err := dial.Open(ctx, address, o.ConnectTimeout)
	if err != nil {
		return nil, err
	}
	wait := &boundedWait{conn: raw}
	limit := &dial.HeadLimit{Source: wait}
	return &Conn{
		Conn: raw, Reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, wait: wait, address: address, serial: p.opened.Add(1),
		afterEarlyClose: afterEarlyClose,
	}, nil
}

// take removes the most recently used connection that o permits from the pool and returns
// it; nil if there is none.
func (p *Pool) take(now time.Time, address string, o Options) *Conn {
	return table.Read(&p.idle, table.Hold{}, func(all *map[string][]*Conn) *Conn {
		conns := (*all)[address]
		for i, c := range slices.Backward(conns) {
			if now.Sub(c.lastUsed) >= o.MaxIdle || now.After(c.expiresAt) {
				return nil
			}
			if !slices.Contains(c.excluded, o.RequestID) {
				(*all)[address] = slices.Delete(conns, i, i+1)
				return c
			}
		}
		return nil
	})
}

// Put adds a connection to the pool, or closes it if it can't be used again.
// KeepAlive is the time for which the upstream keeps idle connections open; zero
// if it states none.
func (p *Pool) Put(now time.Time, c *Conn, keepAlive time.Duration) {
	c.stated = keepAlive > 0
	if !c.stated {
		keepAlive = maxKeepTime
	}
	c.lastUsed = now
	c.expiresAt = now.Add(min(keepAlive-keepAliveMargin, maxKeepTime))
	if c.Reader.Buffered() > 0 || len(c.excluded) > maxExcluded || !c.expiresAt.After(now) || c.wait.set(Wait{}) != nil || c.SetDeadline(time.Time{}) != nil {
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
	// maxKeepTime is the longest time for which the pool keeps an idle connection.
	// If the upstream states no keep-alive time-out, the connection is kept for
	// maxKeepTime less keepAliveMargin. maxKeepTime is below the usual keep-alive
	// time-outs of upstreams.
	maxKeepTime = 10 * time.Second
	// keepAliveMargin is how long before the upstream's keep-alive time-out an
	// idle connection expires, so that no request is sent while the upstream
	// closes it.
	keepAliveMargin = 500 * time.Millisecond
	// maxExcluded is the number of requests that may be excluded from a connection in the
	// pool: the list is searched for each request.
	maxExcluded = 32
)

// CloseUnusable closes the idle connections that have expired, that the upstream has
// closed, or on which it has sent bytes: those belong to no request, may go on without
// end, and take memory until the connection is closed. It returns the addresses of upstreams that
// have closed a connection earlier than they had stated.
func (p *Pool) CloseUnusable(now time.Time) (closedEarly []string) {
	var unusable []*Conn
	p.idle.Do(table.Hold{}, func(_ table.Hold, all *map[string][]*Conn) {
		for address, conns := range *all {
			kept := conns[:0:0]
			early := false
			for _, c := range conns {
				state := c.peek()
				early = early || c.closedEarly(now, state)
				if now.After(c.expiresAt) || state != idleOpen {
					unusable = append(unusable, c)
				} else {
					kept = append(kept, c)
				}
			}
			if early {
				closedEarly = append(closedEarly, address)
			}
			(*all)[address] = kept
			if len(kept) == 0 {
				delete(*all, address)
			}
		}
	})
	for _, c := range unusable {
		_ = c.Close()
	}
	return closedEarly
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	var conns []*Conn
	p.idle.Do(table.Hold{}, func(_ table.Hold, all *map[string][]*Conn) {
		conns = (*all)[address]
		delete(*all, address)
	})
	for _, c := range conns {
		_ = c.Close()
	}
}

// Warm opens a connection to an address and keeps it as idle. The error is that of the
// dialler.
func (p *Pool) Warm(ctx context.Context, now time.Time, address string, timeout time.Duration) error {
	c, err := p.Get(ctx, now, address, Options{ConnectTimeout: timeout})
	if err != nil {
		return err
	}
	p.Put(now, c, 0)
	return nil
}
