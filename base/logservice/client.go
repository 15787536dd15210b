package logservice

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/valyala/fasthttp"

	"camphorpulley.org/core"
)

// UnavailableError reports that a call got no response, or one with a status
// other than 200. After this error, an append may still have taken effect.
type UnavailableError struct {
	// Operation is "append", "read" or "list".
	Operation string
	// Status is the HTTP status, or zero if there was no response.
	Status int
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform: %s: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("platform: %s: got status %d, want 200", e.Operation, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client calls the log service and the instance list.
type Client struct {
	// LogAddress and ListAddress are the addresses of the log service and of the
	// instance list, such as 127.0.0.1:7001.
	LogAddress  string
	ListAddress string
	// Timeout bounds each call, in addition to the wait of a Read; zero means
	// DefaultTimeout.
	Timeout   time.Duration
	configure sync.Once
	http      fasthttp.Client
}

// maxResponseBytes bounds the body of a response: a page of MaxPageSize long records.
const maxResponseBytes = 32 << 20

// DefaultTimeout is the default of Client.Timeout.
const DefaultTimeout = 3 * time.Second

// MaxPageSize is the largest number of records in a Page.
const MaxPageSize = 500

// Append appends a record to a stream and returns the record's offset. After an
// UnavailableError, the record may have been appended all the same.
func (c *Client) Append(stream string, data []byte) (core.Offset, error) {
	var result AppendResponse
	uri := fmt.Sprintf("http://%s/streams/%s/records", c.LogAddress, stream)
	err := c.call("append", fasthttp.MethodPost, uri, data, 0, &result)
	return result.Offset, err
}

// Read returns up to MaxPageSize records of a stream from an offset on. If there is
// none yet, the log service waits for one, up to the given time.
func (c *Client) Read(stream string, from core.Offset, wait time.Duration) (Page, error) {
	var page Page
	uri := fmt.Sprintf("http://%s/streams/%s/records?from=%d&max=%d&wait_ms=%d",
		c.LogAddress, stream, from, MaxPageSize, wait.Milliseconds())
	err := c.call("read", fasthttp.MethodGet, uri, nil, wait, &page)
	return page, err
}

// Instances returns the instance list.
func (c *Client) Instances() ([]Instance, error) {
	var list InstanceList
	err := c.call("list", fasthttp.MethodGet, fmt.Sprintf("http://%s/instances", c.ListAddress), nil, 0, &list)
	return list.Instances, err
}

func (c *Client) call(operation, method, uri string, body []byte, wait time.Duration, result any) error {
	c.configure.Do(func() { c.http.MaxResponseBodySize = maxResponseBytes })
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(uri)
	req.Header.SetMethod(method)
	if body != nil {
		req.SetBody(body)
		req.Header.SetContentType("application/octet-stream")
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	req.SetTimeout(timeout + wait)
	if err := c.http.Do(req, resp); err != nil {
		return &UnavailableError{Operation: operation, Cause: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &UnavailableError{Operation: operation, Status: resp.StatusCode()}
	}
	return wrap.Err(json.Unmarshal(resp.Body(), result), operation)
}
