package backend

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestCutResponse guards against a success with an empty or short body where an upstream stops
// in the middle of its answer's head, or of what the head announces (MIXED, ORDER). It cuts
// each response in testdata/cut at each place; one whose name begins with unframed only in its
// head, since its body ends with the connection.
func TestCutResponse(t *testing.T) {
	files, err := filepath.Glob("testdata/cut/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("testdata: got %d files, error %v, want some", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			data := bytes.ReplaceAll(text, []byte("\n"), []byte("\r\n"))
			end := len(data)
			if strings.HasPrefix(filepath.Base(file), "unframed") {
				end = bytes.Index(data, []byte("\r\n\r\n")) + 4
			}
			for n := range end {
				if status, body, err := cutResponse(t, data[:n]); err == nil {
					t.Errorf("cut after %d of %d bytes: got status %d, body %q and no error, want an error", n, len(data), status, body)
				}
			}
		})
	}
}

// cutResponse sends a request to an upstream that responds with some bytes and closes the
// connection, and returns the response.
func cutResponse(t *testing.T, data []byte) (status int, body []byte, err error) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write(data)
		_ = c.Close()
	}()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://upstream/")
	c := New(anyBoot{}, 5*time.Second)
	if err := c.Do(Target{ID: "u", Address: ln.Addr().String(), OwnConnection: true}, req, resp); err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(resp.BodyStream())
	return resp.StatusCode(), body, err
}
