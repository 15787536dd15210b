package cluster

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
)

// mixedPoolTick is the time between two checks whether the records of mixed pools need the store.
// Streams that begin at a new release meanwhile aren't known of if all routers end.
const mixedPoolTick = 100 * time.Millisecond

// mixedPoolWriter reads the records of mixed pools from the store, writes and removes them. The
// fleet decides when.
type mixedPoolWriter struct {
	store MixedPoolStore
	fleet *fleet.Fleet
	log   *zap.Logger
	// feedRead is notified when a feed was read as a whole: at its start, a router isn't sure of
	// the releases of a pool until it has read the records, too.
	feedRead signal
	// failedCalls counts the failed calls since the last successful one.
	failedCalls int
}

// step does what the fleet wants to be done now, and otherwise waits.
func (w *mixedPoolWriter) step(ctx context.Context) {
	work := w.fleet.MixedPoolWork(time.Now())
	if work.None() {
		w.feedRead.waitAtMost(ctx, mixedPoolTick)
		return
	}
	var err error
	for _, pool := range work.Write {
		if err = w.write(ctx, pool); err != nil {
			break
		}
	}
	if err == nil && (work.Read || len(work.Remove) > 0) {
		err = w.readAndRemove(ctx)
	}
	var conflict *ConflictError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &conflict):
		// Another router has written a record. The next step reads it.
		w.log.Info("mixed_pool_conflict", zap.Uint64("at", conflict.At), zap.Uint64("end", conflict.End))
	case err != nil:
		if w.failedCalls++; w.failedCalls == 1 {
			w.log.Warn("mixed_pools_failed", logs.Err(err))
		}
		worker.Sleep(ctx, min(initialBackoff<<min(w.failedCalls-1, 8), maxBackoff))
	case w.failedCalls > 0:
		w.log.Info("mixed_pools_recovered", zap.Int("tries", w.failedCalls))
		w.failedCalls = 0
	}
}

// write writes the record of a pool. One that is written again after a call without an answer
// changes nothing.
func (w *mixedPoolWriter) write(ctx context.Context, pool core.Pool) error {
	if err := w.store.WriteMixedPool(ctx, pool, w.fleet.Settings().ID); err != nil {
		return err
	}
	w.fleet.RecordMixedPoolWritten(pool)
	w.log.Info("mixed_pool_written", zap.String("pool", string(pool)))
	return nil
}

// readAndRemove reads the records, and removes one that isn't needed any more if no other record
// has come meanwhile: a removal without an answer may be carried out later.
func (w *mixedPoolWriter) readAndRemove(ctx context.Context) error {
	page, err := w.store.MixedPools(ctx)
	if err != nil {
		return err
	}
	w.fleet.ApplyMixedPools(page.Pools)
	w.log.Info("mixed_pools_read", zap.Int("records", len(page.Pools)))
	for _, pool := range page.Pools {
		w.log.Info("mixed_pool_listed", zap.String("pool", string(pool)))
	}
	work := w.fleet.MixedPoolWork(time.Now())
	if len(work.Remove) == 0 {
		return nil
	}
	if err := w.store.RemoveMixedPool(ctx, work.Remove[0], page.End); err != nil {
		return err
	}
	w.fleet.RecordMixedPoolRemoved(work.Remove[0])
	w.log.Info("mixed_pool_removed", zap.String("pool", string(work.Remove[0])))
	return nil
}
