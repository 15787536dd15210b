package proxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo returns the address of a server that sends back what it gets.
func echo(t *testing.T) string {
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

// TestHarms: what each harm lets through of a byte that is sent and echoed, and
// that it comes once the harm has ended, unless the connection was reset.
func TestHarms(t *testing.T) {
	for _, test := range []struct {
		harm           Harm
		passes, resets bool
	}{
		{harm: None, passes: true}, {harm: Delay, passes: true}, {harm: Silence}, {harm: Deaf}, {harm: Mute}, {harm: Reset, resets: true},
	} {
		t.Run(test.harm.String(), func(t *testing.T) {
			p, err := New(echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			c, err := net.Dial("tcp4", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if got := exchange(c); got != nil {
				t.Fatalf("before the harm: got error %v, want none", got)
			}
			p.Set(test.harm)
			if got := exchange(c) == nil; got != test.passes {
				t.Errorf("during the harm: got a byte %t, want %t", got, test.passes)
			}
			p.Set(None)
			if got := exchange(c) != nil; got != test.resets {
				t.Errorf("after the harm: got an error %t, want %t", got, test.resets)
			}
		})
	}
}

// answerTime is how long a byte may take to come back: several delays.
const answerTime = 6 * delay

// exchange sends a byte and waits for one.
func exchange(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(answerTime)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}
