package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"camphorpulley.org/lab/soak/ledger"
	"camphorpulley.org/lab/soak/proxy"
	"camphorpulley.org/lab/soak/store"
)

// client is a connection to a runner.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, p *proxy.Proxy) *client {
	t.Helper()
	c, err := net.Dial("tcp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{t: t, conn: c, reader: bufio.NewReader(c)}
}

// send sends a request that is addressed to a runner.
func (c *client) send(id, target string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\nCamphorpulley-Target-Instance: %s\r\n\r\n", headerRequestID, id, target)
	if err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the status and the request id of the next response.
func (c *client) receive() (status int, id string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(headerRequestID)
}

// start starts a runner of applications, and records safe requests by ids.
func start(t *testing.T, l *ledger.Ledger, id string, requests ...string) *Runner {
	t.Helper()
	r, err := Start(Config{ID: id, Pool: "p", Slots: 10}, &store.Store{}, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Crash)
	for _, id := range requests {
		l.RecordRequest(ledger.Request{ID: id, Kind: ledger.Safe, Route: "r", Line: "GET /"})
	}
	return r
}

// TestCopies checks that a share of refusals are sent once more ahead of the next response on
// their connection and nowhere else, some without an id.
func TestCopies(t *testing.T) {
	const requests = 300
	l := &ledger.Ledger{}
	r := start(t, l, "i-1")
	c := connect(t, r.Proxy)
	copies, anonymous := 0, 0
	for n := range requests {
		id, before := fmt.Sprint(n), fmt.Sprint(n-1)
		c.send(id, "i-2")
		status, got := c.receive()
		if got != id {
			if copies++; got == "" {
				anonymous++
			} else if got != before {
				t.Fatalf("ahead of the response to request %s: got one to request %q, want a copy of the one to %s", id, got, before)
			}
			status, got = c.receive()
		}
		if got != id || status != http.StatusMisdirectedRequest {
			t.Fatalf("request %s: got status %d to request %q, want status %d", id, status, got, http.StatusMisdirectedRequest)
		}
	}
	time.Sleep(2 * lateness)
	// The last refusal may have been sent once more without a next request.
	if got := l.Events()["copies"]; got != copies && got != copies+1 {
		t.Errorf("copies counted: got %d, want %d, or one more", got, copies)
	}
	if copies < requests/4 || copies > 3*requests/4 {
		t.Errorf("copies of %d refusals: got %d, want a share of %g", requests, copies, repeatedShare)
	}
	if anonymous == 0 || anonymous > copies/2 {
		t.Errorf("copies without an id: got %d of %d, want a share of %g", anonymous, copies, anonymousShare)
	}
}

// TestRestart checks that a runner starts again at its address under another id, and refuses
// what is addressed to the former one.
func TestRestart(t *testing.T) {
	l := &ledger.Ledger{}
	r := start(t, l, "i-1", "a", "b")
	before := connect(t, r.Proxy)
	before.send("a", "i-1")
	if status, _ := before.receive(); status != http.StatusOK {
		t.Fatalf("before the restart: got status %d, want %d", status, http.StatusOK)
	}
	r.Terminate()
	if _, err := before.reader.ReadByte(); err == nil {
		t.Errorf("connection of the process that has ended: got a byte, want it closed")
	}
	c := r.Config
	c.ID = "i-2"
	next, err := StartAt(c, r.Proxy, r.store, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Crash)
	for _, test := range []struct {
		target string
		want   int
	}{{target: "i-1", want: http.StatusMisdirectedRequest}, {target: "i-2", want: http.StatusOK}} {
		after := connect(t, r.Proxy)
		after.send("b", test.target)
		if got, _ := after.receive(); got != test.want {
			t.Errorf("request for %s after the restart: got status %d, want %d", test.target, got, test.want)
		}
	}
}

// TestRunEnd checks that a run that hangs ends when its connection closes: another run may
// begin then, and not before.
func TestRunEnd(t *testing.T) {
	for name, test := range map[string]struct {
		closes bool
		want   string
	}{"closed": {closes: true}, "kept": {want: "ran_beside"}} {
		t.Run(name, func(t *testing.T) {
			l := &ledger.Ledger{}
			l.RecordConfig(time.Now(), map[string]string{"r": "p"})
			hanging, next := start(t, l, "i-1"), start(t, l, "i-2")
			hanging.SetMode(Hanging)
			c, id := awaitHang(t, l, hanging)
			if test.closes {
				_ = c.conn.Close()
			}
			other := connect(t, next.Proxy)
			other.send(id, "i-2")
			other.receive()
			time.Sleep(ledger.OverlapLimit)
			l.CheckUnended(time.Now())
			_, violations := l.Result()
			var got []string
			for _, v := range violations {
				got = append(got, v.Guarantee)
			}
			if strings.Join(got, " ") != test.want {
				t.Errorf("violations: got %v, want %q", violations, test.want)
			}
		})
	}
}

// awaitHang sends requests to a runner in the mode Hanging until one hangs, and returns its
// connection and its id.
func awaitHang(t *testing.T, l *ledger.Ledger, r *Runner) (*client, string) {
	t.Helper()
	c := connect(t, r.Proxy)
	for n := 0; ; n++ {
		id := fmt.Sprint(n)
		l.RecordRequest(ledger.Request{ID: id, Kind: ledger.Safe, Route: "r", Line: "GET /"})
		c.send(id, r.ID)
		if err := c.conn.SetReadDeadline(time.Now().Add(4 * workTimeRange)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.reader.Peek(1); err != nil {
			return c, id
		}
		c.receive()
	}
}
