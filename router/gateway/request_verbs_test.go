package gateway_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// took-at-most DURATION: checks how long the last request took.
func cmdTookAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := time.ParseDuration(a[0])
	ts.Check(err)
	if f.took > most {
		ts.Fatalf("last request: got an answer after %s, want at most %s", f.took, most)
	}
}

// requests COUNT ROUTE METHOD ID: sends requests ID0, ID1 and so on at the same time and
// waits for all responses.
func cmdRequests(ts *testscript.TestScript, f *fixture, a []string) {
	count, err := strconv.Atoi(a[0])
	ts.Check(err)
	done := make(chan struct{})
	go f.watchHeap(done)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			r, err := http.NewRequest(a[2], f.server.URL+"/x", nil)
			if err != nil {
				return
			}
			r.Host = a[1]
			r.Header.Set("X-Id", a[3]+strconv.Itoa(i))
			if resp, err := f.server.Client().Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	close(done)
}

// watchHeap records the highest size of the heap until done is closed.
func (f *fixture) watchHeap(done chan struct{}) {
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		f.heap.Store(max(f.heap.Load(), stats.HeapAlloc))
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// heap-at-most MIB: checks the highest size of the heap during the verb requests.
func cmdHeapAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := strconv.ParseUint(a[0], 10, 64)
	ts.Check(err)
	if got := f.heap.Load(); got == 0 || got > most<<20 {
		ts.Fatalf("heap: got %d bytes, want at most %d and a measurement", got, most<<20)
	}
}

// request ROUTE METHOD ID [BODY|size=BYTES] [after=EVENT] [resumes=ID]: sends a caller's
// request and waits for the response.
func cmdRequest(ts *testscript.TestScript, f *fixture, a []string) {
	body, after, resumes := "", "", ""
	for _, arg := range a[3:] {
		key, value, ok := strings.Cut(arg, "=")
		switch {
		case ok && key == "size":
			n, err := strconv.Atoi(value)
			ts.Check(err)
			body = strings.Repeat("x", n)
		case ok && key == "after":
			after = value
		case ok && key == "resumes":
			resumes = value
		default:
			body = strings.ReplaceAll(arg, `\r\n`, "\r\n")
		}
	}
	f.send(ts, context.Background(), a, body, map[string]string{"Last-Event-Id": after, "Resumes": resumes})
}

// send sends a request and keeps its response for the verbs of the script.
func (f *fixture) send(ts *testscript.TestScript, ctx context.Context, a []string, body string, fields map[string]string) {
	r, err := http.NewRequestWithContext(ctx, a[1], f.server.URL+"/x?q=1", strings.NewReader(body))
	ts.Check(err)
	r.Host = a[0]
	r.Header.Set("X-Id", a[2])
	if f.timeout != "" {
		r.Header.Set("X-Wait", f.timeout)
	}
	r.Header.Set("X-Parts", f.parts)
	for name, value := range fields {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	f.do(r)
}

// do sends a request and keeps its response and how long that took.
func (f *fixture) do(r *http.Request) {
	f.status, f.header, f.body = 0, nil, nil
	sentAt := time.Now()
	defer func() { f.took = time.Since(sentAt) }()
	resp, err := f.server.Client().Do(r)
	if f.err = err; err != nil {
		return
	}
	f.status, f.header = resp.StatusCode, resp.Header
	f.body, f.err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
}

// set-parts PARTS: sets the parts of the prompt that callers send from now on.
func cmdSetParts(_ *testscript.TestScript, f *fixture, a []string) { f.parts = a[0] }

// set-timeout MS: sets the time-out that callers send from now on.
func cmdSetTimeout(_ *testscript.TestScript, f *fixture, a []string) { f.timeout = a[0] }

// cancel-request ROUTE METHOD ID AFTER: sends a caller's request and cancels it
// after a duration.
func cmdCancelRequest(ts *testscript.TestScript, f *fixture, a []string) {
	d, err := time.ParseDuration(a[3])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.send(ts, ctx, a, "", nil)
}

// status WANT...: checks that the status of the last response, which must be complete, is
// one of these.
func cmdStatus(ts *testscript.TestScript, f *fixture, a []string) {
	if f.err != nil {
		ts.Fatalf("response: got error %v, want status %s", f.err, a)
	}
	if got := strconv.Itoa(f.status); !slices.Contains(a, got) {
		ts.Fatalf("status: got %s, want %s; body %.200s", got, a, f.body)
	}
}

// set-closing: marks the gateway as about to close its connections.
func cmdSetClosing(_ *testscript.TestScript, f *fixture, _ []string) { f.gateway.Closing.Store(true) }

// response-incomplete: checks that the last response broke off.
func cmdResponseIncomplete(ts *testscript.TestScript, f *fixture, _ []string) {
	if f.err == nil {
		ts.Fatalf("got a complete response with status %d, want one that broke off", f.status)
	}
}

// body FILE|TEXT: checks the body of the last response. The names of files begin
// with "want".
func cmdBody(ts *testscript.TestScript, f *fixture, a []string) {
	want := a[0]
	if strings.HasPrefix(want, "want") {
		want = ts.ReadFile(want)
	}
	if got := string(f.body); got != want {
		ts.Fatalf("body: got %q, want %q", got, want)
	}
}

// header NAME [WANT]: checks a header field of the last response; without WANT,
// the field must be absent or empty.
func cmdHeader(ts *testscript.TestScript, f *fixture, a []string) {
	want := strings.Join(a[1:], " ")
	if got := f.header.Get(a[0]); got != want {
		ts.Fatalf("header %s: got %q, want %q", a[0], got, want)
	}
}
