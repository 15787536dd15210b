// Package back talks HTTP to upstreams.
package back

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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 250 * time.Millisecond
	// reportTimeout bounds the reading of a load report.
	reportTimeout = time.Second
	// maxConns is the largest number of connections to one upstream.
	maxConns = 4096
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// Target is an upstream as the client needs it.
type Target struct {
	ID      core.UpstreamID
	Address string
	// Reports is set if the upstream gives load reports that name its process.
	Reports bool
}

// Boots tells the front end's tables about the process behind a connection.
type Boots interface {
	// SeenBoot says which process answered on a new connection. It returns
	// false if that is not the process that was known.
	SeenBoot(id core.UpstreamID, boot string) bool
}

// Client holds the connections to all upstreams.
type Client struct {
	boots Boots
	// Stall bounds each wait for bytes of an answer.
	stall   time.Duration
	clients *table.Cell[map[Target]*fasthttp.HostClient]
}

// New returns a client without connections. Stall is the longest silence in
// an answer that has begun.
func New(boots Boots, stall time.Duration) *Client {
	return &Client{boots: boots, stall: stall, clients: table.New(table.RankClients, map[Target]*fasthttp.HostClient{})}
}

// Do sends a request. The error is a *DialError or *BootError if nothing was
// sent, else a *BrokenError. The body of the response is a stream, which the
// caller closes.
func (c *Client) Do(t Target, req *fasthttp.Request, resp *fasthttp.Response) error {
	err := c.client(t).Do(req, resp)
	if err == nil {
		return nil
	}
	var dial *DialError
	var boot *BootError
	if errors.As(err, &dial) || errors.As(err, &boot) {
		return err
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &DialError{Upstream: t.ID, Cause: err}
	}
	return &BrokenError{Upstream: t.ID, Cause: err}
}

// client returns the connections to one upstream.
func (c *Client) client(t Target) *fasthttp.HostClient {
	return table.Read(c.clients, table.Hold{}, func(clients *map[Target]*fasthttp.HostClient) *fasthttp.HostClient {
		h := (*clients)[t]
		if h == nil {
			h = c.newClient(t)
			(*clients)[t] = h
		}
		return h
	})
}

func (c *Client) newClient(t Target) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          t.Address,
		Dial:                          func(address string) (net.Conn, error) { return c.dial(t, address) },
		StreamResponseBody:            true,
		MaxConns:                      maxConns,
		MaxIdleConnDuration:           idleTimeout,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		DisablePathNormalizing:        true,
		// The exchange decides on retries, not the library.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dial opens a connection. On one to an upstream that reports, the process
// behind it is asked for first: a request that is sent on the connection then
// runs in that process or nowhere.
func (c *Client) dial(t Target, address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, &DialError{Upstream: t.ID, Cause: err}
	}
	if !t.Reports {
		return &stallConn{Conn: conn, stall: c.stall}, nil
	}
	load, err := readLoad(conn, address)
	if err != nil {
		_ = conn.Close()
		return nil, &DialError{Upstream: t.ID, Cause: err}
	}
	if !c.boots.SeenBoot(t.ID, load.Boot) {
		_ = conn.Close()
		return nil, &BootError{Upstream: t.ID, Boot: load.Boot}
	}
	return &stallConn{Conn: conn, stall: c.stall}, nil
}

// Report reads an upstream's load report on a connection of its own. For one
// that gives none, it only connects.
func Report(t Target) (logservice.Load, error) {
	conn, err := net.DialTimeout("tcp4", t.Address, dialTimeout)
	if err != nil {
		return logservice.Load{}, &DialError{Upstream: t.ID, Cause: err}
	}
	defer func() { _ = conn.Close() }()
	if !t.Reports {
		return logservice.Load{}, nil
	}
	load, err := readLoad(conn, t.Address)
	if err != nil {
		return logservice.Load{}, &DialError{Upstream: t.ID, Cause: err}
	}
	return load, nil
}

// readLoad asks for a load report on an open connection.
func readLoad(conn net.Conn, address string) (logservice.Load, error) {
	var load logservice.Load
	if err := conn.SetDeadline(time.Now().Add(reportTimeout)); err != nil {
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
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return load, err
	}
	if err := json.Unmarshal(resp.Body(), &load); err != nil {
		return load, wrap.Err(err, "load report")
	}
	return load, conn.SetDeadline(time.Time{})
}

// stallConn ends reads that bring nothing for too long, once an answer has
// begun. Before that, the deadline of the request bounds them.
type stallConn struct {
	net.Conn
	stall time.Duration
	begun bool
}

// Write implements net.Conn. A new request begins.
func (c *stallConn) Write(p []byte) (int, error) {
	c.begun = false
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *stallConn) Read(p []byte) (int, error) {
	if c.begun {
		if err := c.SetReadDeadline(time.Now().Add(c.stall)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun = true
	}
	return n, err
}
