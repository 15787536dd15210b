// Package follow reads the streams of the platform's log and its list of
// instances as they grow.
package follow

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
	// longPoll is how long one read waits for new records.
	longPoll = 5 * time.Second
	// retryPause is the time between tries while the platform is away.
	retryPause = 200 * time.Millisecond
)

// Reader takes in the records of a stream.
type Reader struct {
	// Trimmed is called with the first offset that the log has, before the
	// records of each page.
	Trimmed func(earliest core.Offset)
	Record  func(logservice.Record)
	// Caught is called when everything that the log had was read.
	Caught func()
}

// Tail follows one stream.
type Tail struct {
	Client *logservice.Client
	Stream string
	Log    *zap.Logger
	Reader Reader
	next   core.Offset
	away   bool
}

// Step reads one page. It waits for new records, or for a pause after a
// failure.
func (t *Tail) Step(ctx context.Context) {
	t.next = max(t.next, 1)
	page, err := t.Client.Read(t.Stream, t.next, longPoll)
	if err != nil {
		t.report(true, err)
		worker.Sleep(ctx, retryPause)
		return
	}
	t.report(false, nil)
	if page.Earliest > t.next && t.Reader.Trimmed != nil {
		t.Reader.Trimmed(page.Earliest)
	}
	for _, r := range page.Records {
		t.Reader.Record(r)
		t.next = r.Offset + 1
	}
	if t.next >= page.Next && t.Reader.Caught != nil {
		t.Reader.Caught()
	}
}

// report logs when the stream is lost and found.
func (t *Tail) report(away bool, err error) {
	if away == t.away {
		return
	}
	t.away = away
	if away {
		t.Log.Warn("stream_unavailable", zap.String("stream", t.Stream), logs.Err(err))
		return
	}
	t.Log.Info("stream_recovered", zap.String("stream", t.Stream))
}
