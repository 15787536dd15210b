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

// stopped is an output whose reader has stopped until it is released.
type stopped struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

// Write implements io.Writer.
func (s *stopped) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(p)
}

// TestStoppedReader: logging goes on while nobody reads, and what was dropped
// is told once somebody does.
func TestStoppedReader(t *testing.T) {
	out := &stopped{release: make(chan struct{})}
	w := NewWriter(out)
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
		t.Fatal("got a logger that waits for its reader, want one that never does")
	}
	close(out.release)
	// What the writer is telling already no longer counts as dropped, so that the
	// lines that were told and those that weren't yet are added up.
	const want = lines - queueLength - 1
	told, got := 0, 0
	for range 100 {
		_ = w.Sync()
		out.mu.Lock()
		told = 0
		for _, count := range droppedCount.FindAllStringSubmatch(out.data.String(), -1) {
			n, err := strconv.Atoi(count[1])
			if err != nil {
				t.Fatal(err)
			}
			told += n
		}
		out.mu.Unlock()
		if got = told + int(w.Dropped()); told > 0 && got >= want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("dropped: got %d, of which %d were told, want at least %d and some told", got, told, want)
}

var droppedCount = regexp.MustCompile(`event=lines_dropped count=(\d+)`)

// TestBudget: lines of one kind beyond the budget are left out and counted,
// and don't crowd out others.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	before := Left()
	log := zap.New(newCore(zapcore.AddSync(&out), zapcore.InfoLevel))
	const extra = 100
	for range budgetLines + extra {
		log.Info("often")
	}
	log.Info("seldom")
	if got := strings.Count(out.String(), "event=often"); got > 2*budgetLines || got < budgetLines {
		t.Errorf("lines: got %d, want %d", got, budgetLines)
	}
	if !strings.Contains(out.String(), "event=seldom") {
		t.Error("got no line of the other kind, want one")
	}
	if got := Left() - before; got == 0 {
		t.Error("got no count of lines that were left out, want one")
	}
}
