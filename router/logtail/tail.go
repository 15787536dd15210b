// Package logtail reads streams of the platform's log record by record as they grow.
package logtail

import (
	"context"
	"time"

	"camphorpulley.org/base/logs"

	"go.uber.org/zap"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
)

const (
	// longPoll is how long the log may hold a read until a new record arrives.
	longPoll = 5 * time.Second
	// retryPause is the time between reads while the log is unavailable.
	retryPause = 200 * time.Millisecond
)

// Handler holds the functions that a Tail calls with what it reads. All but
// OnRecord may be nil.
type Handler struct {
	// OnTrimmed is called with the first offset that the stream still has, before
	// the records of a page are passed on, if records before that offset were dropped
	// unread.
	OnTrimmed func(earliest core.Offset)
	OnRecord  func(logservice.Record)
	// OnCaughtUp is called after each page that reaches the end of the stream.
	OnCaughtUp func()
}

// Tail reads one stream from its start. Each Step continues where the last page
// ended.
type Tail struct {
	Client  *logservice.Client
	Stream  string
	Log     *zap.Logger
	Handler Handler
	// next is the offset of the next record to read.
	next        core.Offset
	unavailable bool
}

// Step reads one page and passes its records to the handler. It waits for new
// records if there are none, or for retryPause after a failed read.
func (t *Tail) Step(ctx context.Context) {
	t.next = max(t.next, 1)
	page, err := t.Client.Read(t.Stream, t.next, longPoll)
	if err != nil {
		t.logAvailability(true, err)
		worker.Sleep(ctx, retryPause)
		return
	}
	t.logAvailability(false, nil)
	if page.Earliest > t.next && t.Handler.OnTrimmed != nil {
		t.Handler.OnTrimmed(page.Earliest)
	}
	for _, r := range page.Records {
		t.Handler.OnRecord(r)
		t.next = r.Offset + 1
	}
	if t.next >= page.Next && t.Handler.OnCaughtUp != nil {
		t.Handler.OnCaughtUp()
	}
}

// logAvailability logs when the stream becomes unavailable and when it recovers.
func (t *Tail) logAvailability(unavailable bool, err error) {
	if unavailable == t.unavailable {
		return
	}
	t.unavailable = unavailable
	if unavailable {
		t.Log.Warn("stream_unavailable", zap.String("stream", t.Stream), logs.Err(err))
		return
	}
	t.Log.Info("stream_recovered", zap.String("stream", t.Stream))
}
