package logservice

import (
	"encoding/json"
	"fmt"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/valyala/fasthttp"

	"camphorpulley.org/core"
)

// UnavailableError reports that the platform gave no answer or a failure. An
// append that got one may have taken effect all the same.
type UnavailableError struct {
	Operation string
	// Status is zero if there was no answer.
	Status int
	Cause  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform: %s: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("platform: %s: status %d", e.Operation, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client talks to the log service and the list of instances.
type Client struct {
	// Log and List are addresses such as 127.0.0.1:7001.
	Log  string
	List string
	// Timeout bounds each call; zero means DefaultTimeout.
	Timeout time.Duration
	http    fasthttp.Client
}

// DefaultTimeout bounds a call to the platform.
const DefaultTimeout = 3 * time.Second

// MaxPage is the largest number of records in one page.
const MaxPage = 500

// Append puts a record at the end of a stream and returns its offset.
func (c *Client) Append(stream string, data []byte) (core.Offset, error) {
	var result Appended
	uri := fmt.Sprintf("http://%s/streams/%s/records", c.Log, stream)
	err := c.call("append", fasthttp.MethodPost, uri, data, 0, &result)
	return result.Offset, err
}

// Read returns the records of a stream from an offset on. It waits up to wait
// for one if there is none.
func (c *Client) Read(stream string, from core.Offset, wait time.Duration) (Page, error) {
	var page Page
	uri := fmt.Sprintf("http://%s/streams/%s/records?from=%d&max=%d&wait_ms=%d",
		c.Log, stream, from, MaxPage, wait.Milliseconds())
	err := c.call("read", fasthttp.MethodGet, uri, nil, wait, &page)
	return page, err
}

// Instances returns the list of instances.
func (c *Client) Instances() ([]Instance, error) {
	var listing Listing
	err := c.call("list", fasthttp.MethodGet, fmt.Sprintf("http://%s/instances", c.List), nil, 0, &listing)
	return listing.Instances, err
}

func (c *Client) call(operation, method, uri string, body []byte, wait time.Duration, result any) error {
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
