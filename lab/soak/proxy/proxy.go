// Package proxy is a loopback TCP proxy that injects network faults into the
// connections between its clients and a target.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a network fault that affects all connections of a proxy.
type Fault int32

// The faults of a proxy. Data that a fault blocks is held back and delivered
// once the fault ends.
const (
	NoFault Fault = iota
	// Delay delays each chunk of data.
	Delay
	// Reset resets open connections and each new one.
	Reset
	// Blocked blocks the data in both directions.
	Blocked
	// InboundBlocked blocks the data to the target.
	InboundBlocked
	// OutboundBlocked blocks the data from the target.
	OutboundBlocked
)

// String returns the name of the fault for logs.
func (f Fault) String() string {
	return [...]string{"none", "delay", "reset", "blocked", "inbound_blocked", "outbound_blocked"}[f]
}

const (
	// chunkDelay is the delay of a chunk under the fault Delay.
	chunkDelay = 80 * time.Millisecond
	// chunkSize is the size of the read buffer in bytes.
	chunkSize = 16 << 10
	// pollInterval is the time between two checks whether a block has ended.
	pollInterval = 5 * time.Millisecond
	// dialTimeout is the time limit for a connection to the target.
	dialTimeout = time.Second
)

// Proxy forwards connections to a target.
type Proxy struct {
	listener net.Listener
	fault    atomic.Int32
	// mu guards the fields below.
	mu     sync.Mutex
	target string
	conns  map[*net.TCPConn]struct{}
}

// New starts a proxy to a target, as SetTarget sets it, on a free loopback port.
func New(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: map[*net.TCPConn]struct{}{}}
	go p.serve()
	return p, nil
}

// Address returns the host and port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault applies a fault to open and new connections, in place of the previous
// one. NoFault ends the fault.
func (p *Proxy) SetFault(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.resetConns()
	}
}

// SetTarget sets the target of new connections, a host and port, and resets those that are
// open. Without a target, new ones are reset.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.resetConns()
}

func (p *Proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Close stops the listener and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetConns()
}

// resetConns closes all connections with a TCP reset.
func (p *Proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if client, ok := c.(*net.TCPConn); ok {
			go p.handle(client)
		}
	}
}

// handle connects a client to the target and forwards data in both directions.
func (p *Proxy) handle(client *net.TCPConn) {
	raw, err := net.DialTimeout("tcp4", p.currentTarget(), dialTimeout)
	target, ok := raw.(*net.TCPConn)
	if err != nil || !ok || Fault(p.fault.Load()) == Reset {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.forward(client, target, InboundBlocked)
	p.forward(target, client, OutboundBlocked)
}

// forward copies data in one direction until either connection ends, then closes
// both. The fault blockedBy blocks this direction, as Blocked does.
func (p *Proxy) forward(from, to *net.TCPConn, blockedBy Fault) {
	defer p.closeConns(from, to)
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		for f := Fault(p.fault.Load()); f == Blocked || f == blockedBy; f = Fault(p.fault.Load()) {
			time.Sleep(pollInterval)
		}
		if Fault(p.fault.Load()) == Delay {
			time.Sleep(chunkDelay)
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) closeConns(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
