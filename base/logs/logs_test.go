package logs

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// TestBlockedOutput checks that logging does not block while the output does,
// and that the number of dropped lines is written once the output accepts
// lines again.
func TestBlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 3 * queueLength
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("event=x\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write was still blocked by the output after 10 s, want Write never to block")
	}
	close(out.release)
	// A line that is being reported no longer counts in Dropped, so the total is
	// the sum of the reported lines and those not reported yet.
	const want = lines - queueLength - 1
	reported, got := 0, 0
	for range 100 {
		_ = w.Sync()
		out.mu.Lock()
		reported = 0
		for _, count := range droppedCount.FindAllStringSubmatch(out.data.String(), -1) {
			n, err := strconv.Atoi(count[1])
			if err != nil {
				t.Fatal(err)
			}
			reported += n
		}
		out.mu.Unlock()
		if got = reported + int(w.Dropped()); reported > 0 && got >= want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("dropped lines: got %d, %d of them reported; want at least %d, at least 1 of them reported", got, reported, want)
}

var droppedCount = regexp.MustCompile(`event=lines_dropped count=(\d+)`)

// TestRateLimit checks that lines over the rate limit of their event are
// suppressed and counted, and that lines of another event are still written.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	before := SuppressedLines()
	log := zap.New(newCore(zapcore.AddSync(&out), zapcore.InfoLevel))
	const extra = 100
	for range rateLimit + extra {
		log.Info("frequent")
	}
	log.Info("rare")
	if got := strings.Count(out.String(), "event=frequent"); got > 2*rateLimit || got < rateLimit {
		t.Errorf("lines of the frequent event: got %d, want at least %d and at most twice that", got, rateLimit)
	}
	if !strings.Contains(out.String(), "event=rare") {
		t.Error("lines of the rare event: got 0, want 1")
	}
	if got := SuppressedLines() - before; got == 0 {
		t.Error("suppressed lines: got 0, want at least 1")
	}
}
