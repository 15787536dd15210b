package httpclient

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
	"camphorpulley.org/router/blocks"
)

// Request is a request to an upstream.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              blocks.Body
	// HasBody reports whether the caller sent a body, even an empty one.
	HasBody bool
	// Deadline is when the request is given up whatever has arrived.
	Deadline time.Time
}

// Response is an upstream's response with an unread body. It holds its connection
// until Release or Abort is called.
type Response struct {
	*http.Response
	conn *Conn
	// writeResult receives the result of writing the request.
	writeResult chan error
	// detach keeps the connection from being closed when the context ends. It
	// returns false if the context has ended, or if detach was called before.
	detach func() bool
	// complete reports whether the body was read to its end.
	complete bool
}

// MismatchedResponseError reports a response that belongs to another request.
// Want and Got are the ids of the expected and of the stated request.
type MismatchedResponseError struct {
	Want, Got string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("answer for request %q in place of %q", e.Got, e.Want)
}

// InvalidStatusError reports a response with a status that isn't one of HTTP.
type InvalidStatusError struct {
	Status string
}

// Error implements error.
func (e *InvalidStatusError) Error() string { return fmt.Sprintf("invalid status %q", e.Status) }

const (
	// maxHeadBytes bounds the status lines and headers that are read for one request,
	// interim responses and trailers included.
	maxHeadBytes = 64 << 10
	// maxInlineBytes is the largest body that is written before the response is
	// read. A larger one is written concurrently, because an upstream may respond
	// before it has read the whole body.
	maxInlineBytes = 16 << 10
	// maxSkipped is how many interim responses and responses to earlier requests
	// are skipped in total.
	maxSkipped = 3
	// maxLateBodyBytes bounds the body of a response that is skipped.
	maxLateBodyBytes = 1 << 20
)

// Do sends a request and waits for the header of its response.
// CheckHead returns a *MismatchedResponseError for a response that belongs to
// another request; such late responses are skipped. Any other error of checkHead is
// returned. The connection is closed when ctx ends, and after an error.
func (c *Conn) Do(ctx context.Context, r Request, w Wait, checkHead func(status int, h http.Header) error) (*Response, error) {
	resp := &Response{conn: c, writeResult: make(chan error, 1)}
	resp.detach = context.AfterFunc(ctx, c.Reset)
	if err := resp.SetWait(w); err != nil {
		resp.Abort()
		return nil, err
	}
	if err := resp.send(r); err != nil {
		resp.Abort()
		return nil, wrap.Err(err, "send request")
	}
	if err := resp.readHead(r, checkHead); err != nil {
		resp.Abort()
		return nil, err
	}
	return resp, nil
}

// send writes the request. A large body is written in the background.
func (resp *Response) send(r Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	length := r.Body.Len()
	if r.HasBody || length > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if length <= maxInlineBytes {
		for _, block := range r.Body {
			head.Write(block)
		}
		err := resp.conn.wait.write(head.Bytes())
		resp.writeResult <- err
		return err
	}
	// The upstream may read a long body as late as it likes, and respond meanwhile.
	if err := resp.conn.SetWriteDeadline(r.Deadline); err != nil {
		return err
	}
	go func() {
		_, err := resp.conn.Write(head.Bytes())
		for _, block := range r.Body {
			if err == nil {
				_, err = resp.conn.Write(block)
			}
		}
		resp.writeResult <- err
	}()
	return nil
}

// readHead reads the status and header of the response that belongs to the
// request, and skips interim responses and late ones.
func (resp *Response) readHead(r Request, checkHead func(status int, h http.Header) error) error {
	request := &http.Request{Method: r.Method}
	for range maxSkipped + 1 {
		resp.conn.limit.Expect(maxHeadBytes)
		//nolint:bodyclose // The body ends with the connection, in Release or Abort.
		received, err := http.ReadResponse(resp.conn.Reader, request)
		if err != nil {
			return wrap.Err(err, "read answer")
		}
		resp.conn.limit.End()
		if received.StatusCode < http.StatusContinue {
			// It is no interim response: its body would be taken for the next response.
			return &InvalidStatusError{Status: received.Status}
		}
		if received.StatusCode < http.StatusOK {
			continue
		}
		resp.Response = received
		if err = checkHead(received.StatusCode, received.Header); err == nil {
			return nil
		}
		var mismatched *MismatchedResponseError
		if !errors.As(err, &mismatched) || received.Close {
			return err
		}
		if _, err := io.CopyN(io.Discard, received.Body, maxLateBodyBytes); !errors.Is(err, io.EOF) {
			return wrap.Err(mismatched, "pass over a late answer")
		}
	}
	return errors.New("too many answers that belong to other requests")
}

// Read implements io.Reader for the body.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		resp.complete = true
	}
	return n, err
}

// SetWait replaces the bound on the wait for the next bytes of the response.
func (resp *Response) SetWait(w Wait) error {
	return wrap.Err(resp.conn.wait.set(w), "set deadline")
}

// Abort resets the connection, whatever was read. What the upstream has not received yet of
// the request is discarded.
func (resp *Response) Abort() {
	resp.detach()
	// A request that was given up must not arrive once the path to the upstream is back.
	resp.conn.Reset()
}

// ExcludeRequest keeps the connection from being used for another attempt of a request: the
// upstream may send this response once more, and its copy can't be told from the response to
// that attempt. It must be called before Release.
func (resp *Response) ExcludeRequest(id string) {
	resp.conn.excluded = append(resp.conn.excluded, id)
}

// Release returns the connection to a pool if it can be used again: the request
// was written and the body read to its end, ctx has not ended, and the upstream
// keeps the connection open. Otherwise it closes the connection.
func (resp *Response) Release(now time.Time, p *Pool) {
	written := false
	select {
	case err := <-resp.writeResult:
		written = err == nil
	default:
	}
	if !resp.detach() || !resp.complete || !written {
		resp.Abort()
		return
	}
	if resp.Close || !isPersistent(resp.Header) {
		_ = resp.conn.Close()
		return
	}
	resp.conn.reused = true
	p.Put(now, resp.conn, keepAliveTimeout(resp.Header))
}

// isPersistent reports whether no Connection field asks to close the connection.
func isPersistent(h http.Header) bool {
	return !slices.ContainsFunc(h.Values("Connection"), func(v string) bool {
		return strings.Contains(strings.ToLower(v), "close")
	})
}

// keepAliveTimeout returns the time-out for idle connections from the Keep-Alive
// field; zero if it states none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
