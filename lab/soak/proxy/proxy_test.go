package proxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer returns the address of a server that sends back what it
// receives.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

// TestFaults checks for each fault whether a byte passes to the target and back
// while the fault is active, and that bytes pass again once it has ended, unless
// the connection was reset.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		fault          Fault
		passes, resets bool
	}{
		{fault: NoFault, passes: true}, {fault: Delay, passes: true},
		{fault: Blocked}, {fault: InboundBlocked}, {fault: OutboundBlocked},
		{fault: Reset, resets: true},
	} {
		t.Run(test.fault.String(), func(t *testing.T) {
			p, err := New(startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			c, err := net.Dial("tcp4", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if err := exchange(c); err != nil {
				t.Fatalf("before the fault: exchange got error %v, want none", err)
			}
			p.SetFault(test.fault)
			if got := exchange(c) == nil; got != test.passes {
				t.Errorf("during the fault: byte came back: got %t, want %t", got, test.passes)
			}
			p.SetFault(NoFault)
			if got := exchange(c) != nil; got != test.resets {
				t.Errorf("after the fault: exchange failed: got %t, want %t", got, test.resets)
			}
		})
	}
}

// echoTimeout is the time limit for a byte to come back. Under the fault Delay it
// takes two delays.
const echoTimeout = 6 * chunkDelay

// exchange sends a byte and waits for its echo.
func exchange(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(echoTimeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestSetTarget checks that connections lead to the target that was set last, that those to
// the one before are reset, and that none passes without a target.
func TestSetTarget(t *testing.T) {
	p, err := New("")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for _, step := range []struct {
		target string
		passes bool
	}{{target: startEchoServer(t), passes: true}, {target: ""}, {target: startEchoServer(t), passes: true}} {
		p.SetTarget(step.target)
		c, err := net.Dial("tcp4", p.Address())
		if err == nil {
			err = exchange(c)
			defer func() { _ = c.Close() }()
		}
		if got := err == nil; got != step.passes {
			t.Errorf("target %q: byte came back: got %t (%v), want %t", step.target, got, err, step.passes)
		}
		if p.SetTarget(""); step.passes && exchange(c) == nil {
			t.Errorf("after target %q: byte came back, want the connection reset", step.target)
		}
	}
}
