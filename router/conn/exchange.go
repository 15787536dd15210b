package conn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/base/wrap"
)

// Request is what is sent to an upstream.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// HasBody is set if the caller sent a body, if only an empty one.
	HasBody bool
}

// Answer is an upstream's answer, whose body is still to be read.
type Answer struct {
	*http.Response
	conn *Conn
	sent chan error
	stop func() bool
	// whole is set once the body was read to its end.
	whole bool
}

// CrossedError reports answers that belong to other requests.
type CrossedError struct {
	Want, Got string
}

// Error implements error.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer for request %q in place of %q", e.Got, e.Want)
}

const (
	// inline is the largest request in bytes that is written before the answer
	// is awaited. A larger one is written beside it, since an upstream may answer
	// before it has read all.
	inline = 16 << 10
	// lateAnswers is how many answers to earlier requests are passed over.
	lateAnswers = 3
	// lateBody bounds the body of an answer that is passed over, in bytes.
	lateBody = 1 << 20
)

// Do sends a request and waits for the head of its answer until a time. Match
// reports whether an answer belongs to the request. When ctx ends, the
// connection is closed. After an error the connection is closed as well.
func (c *Conn) Do(ctx context.Context, r Request, until time.Time, match func(status int, h http.Header) error) (*Answer, error) {
	a := &Answer{conn: c, sent: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := c.SetDeadline(until); err != nil {
		a.Abort()
		return nil, wrap.Err(err, "set deadline")
	}
	if err := a.send(r); err != nil {
		a.Abort()
		return nil, wrap.Err(err, "send request")
	}
	if err := a.readHead(r, match); err != nil {
		a.Abort()
		return nil, err
	}
	return a, nil
}

func (a *Answer) send(r Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if r.HasBody || len(r.Body) > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(r.Body) <= inline {
		head.Write(r.Body)
		_, err := a.conn.Write(head.Bytes())
		a.sent <- err
		return err
	}
	go func() {
		_, err := a.conn.Write(head.Bytes())
		if err == nil {
			_, err = a.conn.Write(r.Body)
		}
		a.sent <- err
	}()
	return nil
}

func (a *Answer) readHead(r Request, match func(status int, h http.Header) error) error {
	like := &http.Request{Method: r.Method}
	for range lateAnswers + 1 {
		//nolint:bodyclose // The body ends with the connection, in Done or Abort.
		resp, err := http.ReadResponse(a.conn.Reader, like)
		if err != nil {
			return wrap.Err(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a.Response = resp
		if err = match(resp.StatusCode, resp.Header); err == nil {
			return nil
		}
		var crossed *CrossedError
		if !errors.As(err, &crossed) || resp.Close {
			return err
		}
		if _, err := io.CopyN(io.Discard, resp.Body, lateBody); !errors.Is(err, io.EOF) {
			return wrap.Err(crossed, "pass over a late answer")
		}
	}
	return errors.New("too many answers that belong to other requests")
}

// Read reads the body and notes its end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Until sets when reading and writing fail.
func (a *Answer) Until(t time.Time) error { return wrap.Err(a.conn.SetDeadline(t), "set deadline") }

// Abort closes the connection.
func (a *Answer) Abort() {
	a.stop()
	_ = a.conn.Close()
}

// Done gives the connection back to a pool if it can be used again.
func (a *Answer) Done(now time.Time, p *Pool) {
	sent := false
	select {
	case err := <-a.sent:
		sent = err == nil
	default:
	}
	if !a.stop() || !a.whole || !sent || a.Close || !keeps(a.Header) {
		a.Abort()
		return
	}
	p.Put(now, a.conn, keepAlive(a.Header))
}

func keeps(h http.Header) bool {
	return !slices.ContainsFunc(h.Values("Connection"), func(v string) bool {
		return strings.Contains(strings.ToLower(v), "close")
	})
}

// keepAlive returns the time-out that an upstream states for idle connections;
// zero if it states none.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
