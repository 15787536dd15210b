// Package backend is the HTTP client for upstreams of the program camphorpulley. On
// each new connection it checks which process of the upstream answers. Package
// httpclient is its counterpart in the program camphorpulley-platform.
package backend

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/core"
	"camphorpulley.org/core/table"
)

const (
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 250 * time.Millisecond
	// loadTimeout is the timeout for reading a load report.
	loadTimeout = time.Second
	// maxLoadBytes bounds the body of a load report.
	maxLoadBytes = 64 << 10
	// maxConnsPerUpstream is the largest number of connections to one upstream.
	maxConnsPerUpstream = 4096
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 30 * time.Second
)

// Target identifies an upstream and its address.
type Target struct {
	ID      core.UpstreamID
	Address string
	// ReportsLoad is true if the upstream serves load reports that name its
	// process.
	ReportsLoad bool
	// OwnConnection is true if the request is not to share its connection with others:
	// what an earlier request has left on it can't be taken for its response.
	OwnConnection bool
}

// BootObserver is notified which process of an upstream answers on a new
// connection. A boot is the identifier that an upstream's process chose when it
// started.
type BootObserver interface {
	// ObserveBoot records the boot that an upstream reported on a new
	// connection. It returns false if the upstream is unknown or another boot had
	// been recorded before; the connection must then not be used.
	ObserveBoot(id core.UpstreamID, boot string) bool
}

// Client sends requests to upstreams and pools the connections to them.
type Client struct {
	boots BootObserver
	// idleTimeout is the longest wait for the next bytes of a response that has
	// begun.
	idleTimeout time.Duration
	hosts       *table.Cell[map[Target]*fasthttp.HostClient]
}

// New returns a client without connections. It ends a response that has begun
// when no bytes arrive for idleTimeout.
func New(boots BootObserver, idleTimeout time.Duration) *Client {
	return &Client{boots: boots, idleTimeout: idleTimeout, hosts: table.New(table.RankClients, map[Target]*fasthttp.HostClient{})}
}

// Do sends a request and reads the head of the response to it. If nothing was sent, the
// error is a *DialError (also if too many connections are open) or a
// *BootMismatchError; otherwise it is a *BrokenError. The body of the response is
// a stream, which the caller must close.
func (c *Client) Do(t Target, req *fasthttp.Request, resp *fasthttp.Response) error {
	if t.OwnConnection {
		// Each connection of this target closes after its response, so that the library
		// has none to use again.
		req.SetConnectionClose()
	}
	err := c.hostClient(t).Do(req, resp)
	for errors.Is(err, errNotReusable) {
		// Nothing was sent, and the library has dropped the connection.
		err = c.hostClient(t).Do(req, resp)
	}
	if err == nil {
		err = checkResponse(req, resp)
	}
	if err == nil {
		return nil
	}
	var dial *DialError
	var mismatch *BootMismatchError
	if errors.As(err, &dial) || errors.As(err, &mismatch) {
		return err
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &DialError{Upstream: t.ID, Cause: err}
	}
	return &BrokenError{Upstream: t.ID, Cause: err}
}

// hostClient returns the HTTP client of an upstream, and creates it if needed.
func (c *Client) hostClient(t Target) *fasthttp.HostClient {
	return table.Read(c.hosts, table.Hold{}, func(hosts *map[Target]*fasthttp.HostClient) *fasthttp.HostClient {
		h := (*hosts)[t]
		if h == nil {
			h = c.newHostClient(t)
			(*hosts)[t] = h
		}
		return h
	})
}

func (c *Client) newHostClient(t Target) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          t.Address,
		Dial:                          func(address string) (net.Conn, error) { return c.dial(t, address) },
		StreamResponseBody:            true,
		MaxConns:                      maxConnsPerUpstream,
		MaxIdleConnDuration:           idleConnTimeout,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
		// Package exchange retries, not the library.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dial opens a connection. If the upstream serves load reports, dial first
// reads one on the connection to identify the process. A request sent on the
// connection then runs in that process or not at all.
func (c *Client) dial(t Target, address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, &DialError{Upstream: t.ID, Cause: err}
	}
	if !t.ReportsLoad {
		return &upstreamConn{Conn: conn, idleTimeout: c.idleTimeout}, nil
	}
	load, err := fetchLoadOn(conn, address)
	if err != nil {
		_ = conn.Close()
		return nil, &DialError{Upstream: t.ID, Cause: err}
	}
	if !c.boots.ObserveBoot(t.ID, load.Boot) {
		_ = conn.Close()
		return nil, &BootMismatchError{Upstream: t.ID, Boot: load.Boot}
	}
	return &upstreamConn{Conn: conn, idleTimeout: c.idleTimeout, loadReported: true}, nil
}

// FetchLoad reads an upstream's load report on a new connection. If the
// upstream serves no reports, it only checks that it accepts a connection. The
// error is a *DialError.
func FetchLoad(t Target) (logservice.LoadReport, error) {
	conn, err := net.DialTimeout("tcp4", t.Address, dialTimeout)
	if err != nil {
		return logservice.LoadReport{}, &DialError{Upstream: t.ID, Cause: err}
	}
	defer func() { _ = conn.Close() }()
	if !t.ReportsLoad {
		return logservice.LoadReport{}, nil
	}
	load, err := fetchLoadOn(conn, t.Address)
	if err != nil {
		return logservice.LoadReport{}, &DialError{Upstream: t.ID, Cause: err}
	}
	return load, nil
}

// fetchLoadOn requests a load report on an open connection.
func fetchLoadOn(conn net.Conn, address string) (logservice.LoadReport, error) {
	var load logservice.LoadReport
	if err := conn.SetDeadline(time.Now().Add(loadTimeout)); err != nil {
		return load, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/load")
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return load, err
	}
	if err := w.Flush(); err != nil {
		return load, err
	}
	if err := resp.ReadLimitBody(bufio.NewReader(conn), maxLoadBytes); err != nil {
		return load, err
	}
	if err := json.Unmarshal(resp.Body(), &load); err != nil {
		return load, wrap.Err(err, "decode load report")
	}
	return load, conn.SetDeadline(time.Time{})
}
