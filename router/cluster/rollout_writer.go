package cluster

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core/fleet"
)

const (
	// rolloutTick is the time between two steps of the roll-outs: a small part of the time
	// within which requests have to leave a bad release.
	rolloutTick = 100 * time.Millisecond
	// maxStatusBackoff bounds the time between two tries to read or write a status.
	maxStatusBackoff = time.Second
)

// rolloutWriter reads the statuses of roll-outs from the store and writes them. The fleet
// decides when. It calls the store only while there is an order without a confirmed status.
type rolloutWriter struct {
	store StatusStore
	fleet *fleet.Fleet
	log   *zap.Logger
	// era is that of the store at the last read; zero if it states none.
	era uint64
	// failedCalls counts the failed calls since the last successful one.
	failedCalls int
}

// step does what the fleet wants to be done now, and otherwise waits.
func (w *rolloutWriter) step(ctx context.Context) {
	work := w.fleet.StatusWork(time.Now())
	if work.None() {
		worker.Sleep(ctx, rolloutTick)
		return
	}
	err := w.do(ctx, work)
	var conflict *ConflictError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &conflict):
		// Another router has written a status. The next step reads it.
		w.log.Info("rollout_status_conflict", zap.Uint64("at", conflict.At), zap.Uint64("end", conflict.End))
	case err != nil:
		if w.failedCalls++; w.failedCalls == 1 {
			w.log.Warn("rollout_status_failed", logs.Err(err))
		}
		worker.Sleep(ctx, min(initialBackoff<<min(w.failedCalls-1, 8), maxStatusBackoff))
	case w.failedCalls > 0:
		w.log.Info("rollout_status_recovered", zap.Int("tries", w.failedCalls))
		w.failedCalls = 0
	}
}

// do reads the statuses, and writes those that the store lacks, each if no other record has
// come meanwhile. An append without an answer may have happened or may happen later: the next
// step reads the statuses again, and only one of two appends at the same offset succeeds.
func (w *rolloutWriter) do(ctx context.Context, work fleet.StatusWork) error {
	page, err := w.store.Statuses(ctx)
	if err != nil {
		return err
	}
	if page.Era != 0 && page.Era < w.era {
		return &eraError{Got: page.Era, Known: w.era}
	}
	w.era = max(w.era, page.Era)
	for _, fault := range page.Errors {
		w.log.Warn("record_invalid", zap.String("feed", "status"), logs.Err(fault))
	}
	for _, c := range w.fleet.ApplyStatuses(time.Now(), page.Statuses) {
		logRolloutChange(w.log, "", c)
	}
	if len(work.Write) == 0 {
		return nil
	}
	// What the store has may have changed what there is to write. A second status is written
	// in the next step, at the new end.
	work = w.fleet.StatusWork(time.Now())
	if len(work.Write) == 0 {
		return nil
	}
	s := work.Write[0]
	if err := w.store.AppendStatus(ctx, s, page.End); err != nil {
		return err
	}
	w.fleet.RecordStatusWritten(time.Now(), s)
	w.log.Info("rollout_status_written", zap.String("service", string(s.Pool)), zap.String("target", s.Target),
		zap.String("stage", s.Stage.String()), zap.Uint64("order", s.Offset))
	return nil
}
