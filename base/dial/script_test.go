package dial_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sys/unix"

	"camphorpulley.org/base/dial"
	"camphorpulley.org/base/dial/dialtest"
)

// TestScripts runs the scripts in testdata, in which a connection's peer reads, writes and
// closes its side.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			p, err := newPair(env)
			env.Values[pairKey{}] = p
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"begin-read": with(cmdBeginRead), "sample": with(cmdSample), "write": with(cmdWrite), "await-write": with(cmdAwaitWrite), "read": with(cmdRead), "peer-sends": with(cmdPeerSends),
			"peer-reads": with(cmdPeerReads), "peer-ends": with(cmdPeerEnds), "pause": with(cmdPause),
		},
	})
}

type pairKey struct{}

// pair is a connection and its peer.
type pair struct {
	conn *dial.Conn
	peer *net.TCPConn
	// written receives the result of the last write, and read what was read up to an error.
	written chan error
	read    chan readResult
	// liveness is what the samples of a script are shown to.
	liveness dial.Liveness
}

type readResult struct {
	text string
	err  error
}

// testTimeout bounds each wait of a script.
const testTimeout = 10 * time.Second

func newPair(env *testscript.Env) (*pair, error) {
	ln, err := dialtest.Listen()
	if err != nil {
		return nil, err
	}
	defer func() { _ = ln.Close() }()
	conn, err := dial.Open(context.Background(), ln.Addr().String(), testTimeout)
	if err != nil {
		return nil, err
	}
	env.Defer(func() { _ = conn.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		return nil, err
	}
	env.Defer(func() { _ = accepted.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return nil, err
	}
	return &pair{conn: conn, peer: accepted.(*net.TCPConn), written: make(chan error, 1)}, nil
}

func with(cmd func(*testscript.TestScript, *pair, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		p, ok := ts.Value(pairKey{}).(*pair)
		if !ok {
			ts.Fatalf("no connection")
		}
		cmd(ts, p, args)
	}
}

// write BYTES: begins to write.
func cmdWrite(ts *testscript.TestScript, p *pair, a []string) {
	n, err := strconv.Atoi(a[0])
	ts.Check(err)
	go func() {
		_, err := p.conn.Write(make([]byte, n))
		p.written <- err
	}()
}

// await-write ok|fails: waits for the end of the write.
func cmdAwaitWrite(ts *testscript.TestScript, p *pair, a []string) {
	err := <-p.written
	if got := result(err); got != a[0] {
		ts.Fatalf("write: got %s (%v), want %s", got, err, a[0])
	}
}

func result(err error) string {
	if err != nil {
		return "fails"
	}
	return "ok"
}

// begin-read: begins to read up to an error.
func cmdBeginRead(_ *testscript.TestScript, p *pair, _ []string) {
	p.read = make(chan readResult, 1)
	go func() {
		text, err := io.ReadAll(p.conn)
		p.read <- readResult{text: string(text), err: err}
	}()
}

// read TEXT end|lost: reads up to an error, unless begin-read has begun, and checks the text
// before the error and the error.
func cmdRead(ts *testscript.TestScript, p *pair, a []string) {
	if p.read == nil {
		cmdBeginRead(ts, p, nil)
	}
	r := <-p.read
	got, err := r.text, r.err
	end := "end"
	var lost *dial.LostError
	switch {
	case errors.As(err, &lost), errors.Is(err, syscall.ECONNRESET):
		end = "lost"
	case err != nil:
		end = err.Error()
	}
	if got != a[0] || end != a[1] {
		ts.Fatalf("read: got %q and %s, want %q and %s", got, end, a[0], a[1])
	}
}

// peer-sends TEXT: makes the peer send a text.
func cmdPeerSends(ts *testscript.TestScript, p *pair, a []string) {
	_, err := io.Copy(p.peer, strings.NewReader(a[0]))
	ts.Check(err)
}

// peer-reads BYTES: makes the peer read.
func cmdPeerReads(ts *testscript.TestScript, p *pair, a []string) {
	n, err := strconv.ParseInt(a[0], 10, 64)
	ts.Check(err)
	_, err = io.CopyN(io.Discard, p.peer, n)
	ts.Check(err)
}

// peer-ends reset|close|half-close: ends the peer's side, or only what it sends.
func cmdPeerEnds(ts *testscript.TestScript, p *pair, a []string) {
	switch a[0] {
	case "reset":
		ts.Check(p.peer.SetLinger(0))
		ts.Check(p.peer.Close())
	case "close":
		ts.Check(p.peer.Close())
	case "half-close":
		ts.Check(p.peer.CloseWrite())
	default:
		ts.Fatalf("peer-ends: got %q, want reset, close or half-close", a[0])
	}
}

// pause DURATION: pauses the script.
func cmdPause(ts *testscript.TestScript, _ *pair, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	time.Sleep(d)
}

// sample AT UNACKED RECEIVED alive|lost: shows a state of a connection at a time, with so many
// segments in flight and received, and checks what is concluded.
func cmdSample(ts *testscript.TestScript, p *pair, a []string) {
	at, err := time.ParseDuration(a[0])
	ts.Check(err)
	unacked, err := strconv.ParseUint(a[1], 10, 32)
	ts.Check(err)
	received, err := strconv.ParseUint(a[2], 10, 32)
	ts.Check(err)
	got := "alive"
	if p.liveness.Lost(time.Unix(1000, 0).Add(at), &unix.TCPInfo{Unacked: uint32(unacked), Segs_in: uint32(received)}) {
		got = "lost"
	}
	if got != a[3] {
		ts.Fatalf("connection at %s: got %s, want %s", a[0], got, a[3])
	}
}
