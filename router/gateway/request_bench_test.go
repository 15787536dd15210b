package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core/memory"
	"camphorpulley.org/core/roster"
	"camphorpulley.org/router/budget"
)

// BenchmarkRequest measures one request through a gateway to an upstream, one after another, by
// the size of its body. The processor time is that of the whole process: caller, gateway and
// upstream.
func BenchmarkRequest(b *testing.B) {
	f := newFixture()
	defer f.close()
	f.gateway.Memory = budget.New(memory.Limits{Held: 64 << 20, Reserve: 16 << 20}, zap.NewNop())
	f.gateway.Forwarder.Memory = f.gateway.Memory
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "s")
		_, _ = io.WriteString(w, "answer")
	}))
	defer u.Close()
	f.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, []roster.Entry{{ID: "u", Pool: "p", DataCentre: "a", Address: u.Listener.Addr().String()}})
	for _, size := range []int{0, 1 << 10, 60 << 10, 1 << 20} {
		body := strings.Repeat("x", size)
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			var begin, end syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &begin)
			for n := range b.N {
				r, err := http.NewRequest(http.MethodPost, f.server.URL+"/x", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				r.Host = "safe"
				r.Header.Set("X-Id", strconv.Itoa(size)+"-"+strconv.Itoa(n)+"-"+strconv.FormatInt(time.Now().UnixNano(), 10))
				resp, err := f.server.Client().Do(r)
				if err != nil {
					b.Fatal(err)
				}
				text, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatalf("status: got %d, want 200; answer %s", resp.StatusCode, text)
				}
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &end)
			b.ReportMetric(float64(end.Utime.Nano()+end.Stime.Nano()-begin.Utime.Nano()-begin.Stime.Nano())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkStream measures one stream of 100 events of 60 bytes, whose caller keeps up.
func BenchmarkStream(b *testing.B) {
	f := newFixture()
	defer f.close()
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 100 {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(n+1)+"\ndata: "+strings.Repeat("a", 48)+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer u.Close()
	f.fleet.ApplyFullRead(time.Now(), time.Now(), 0, 0, []roster.Entry{{ID: "u", Pool: "p", DataCentre: "a", Address: u.Listener.Addr().String()}})
	var begin, end syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &begin)
	for n := range b.N {
		r, err := http.NewRequest(http.MethodGet, f.server.URL+"/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "stream"
		r.Header.Set("X-Id", strconv.Itoa(n)+"-"+strconv.FormatInt(time.Now().UnixNano(), 10))
		resp, err := f.server.Client().Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("stream: got status %d and error %v, want 200 and none", resp.StatusCode, err)
		}
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &end)
	b.ReportMetric(float64(end.Utime.Nano()+end.Stime.Nano()-begin.Utime.Nano()-begin.Stime.Nano())/float64(b.N), "cpu-ns/op")
}
