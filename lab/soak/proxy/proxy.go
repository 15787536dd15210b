// Package proxy is a loopback proxy that harms the connections through it.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Harm is what the proxy does to its connections.
type Harm int32

// The harms of a proxy.
const (
	None Harm = iota
	// Delay holds each piece back for a while.
	Delay
	// Reset resets connections, also new ones.
	Reset
	// Silence passes nothing in either direction.
	Silence
	// Deaf passes nothing to the target, Mute nothing from it.
	Deaf
	Mute
)

// String returns the word for logs.
func (h Harm) String() string {
	return [...]string{"none", "delay", "reset", "silence", "deaf", "mute"}[h]
}

const (
	// delay is how long a piece is held back.
	delay = 80 * time.Millisecond
	// pieceSize is the size of a piece in bytes.
	pieceSize = 16 << 10
	// lookEvery is the time between two looks at whether a silence has ended.
	lookEvery = 5 * time.Millisecond
	// dialTimeout bounds a connection to the target.
	dialTimeout = time.Second
)

// Proxy passes connections on to a target.
type Proxy struct {
	listener net.Listener
	target   string
	harm     atomic.Int32
	mu       sync.Mutex
	open     map[*net.TCPConn]struct{}
}

// New returns a proxy to a target on a free port.
func New(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, open: map[*net.TCPConn]struct{}{}}
	go p.serve()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set harms the connections from now on.
func (p *Proxy) Set(h Harm) {
	p.harm.Store(int32(h))
	if h == Reset {
		p.reset()
	}
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(p.open, c)
	}
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if caller, ok := c.(*net.TCPConn); ok {
			go p.join(caller)
		}
	}
}

func (p *Proxy) join(caller *net.TCPConn) {
	raw, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	target, ok := raw.(*net.TCPConn)
	if err != nil || !ok || Harm(p.harm.Load()) == Reset {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.open[caller], p.open[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.pass(caller, target, Deaf)
	p.pass(target, caller, Mute)
}

// pass copies pieces in one direction, which the given harm blocks.
func (p *Proxy) pass(from, to *net.TCPConn, blocks Harm) {
	defer p.end(from, to)
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		for h := Harm(p.harm.Load()); h == Silence || h == blocks; h = Harm(p.harm.Load()) {
			time.Sleep(lookEvery)
		}
		if Harm(p.harm.Load()) == Delay {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) end(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.open, c)
	}
}
