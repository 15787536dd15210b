package cluster

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/poison"
)

// partRecordTick is the time between two checks whether the record of refused parts needs the
// store: parts may change often during an outage, and calls of the store are priced. What changes
// meanwhile isn't known if all routers end.
const partRecordTick = 200 * time.Millisecond

// PartRecordPage is the record of refused parts in the store.
type PartRecordPage struct {
	// Record is the newest one, its zero value if there is none or if it can't be parsed.
	Record poison.PartRecord
	// End is the offset after the newest record.
	End uint64
}

// PartRecordStore is the client of the service that holds the record of refused parts.
type PartRecordStore interface {
	// PartRecord returns the record.
	PartRecord(ctx context.Context) (PartRecordPage, error)
	// WritePartRecord replaces the record, or removes it if it has no parts, if the records end at
	// an offset. The error is a *ConflictError if they don't. After any other error, the record may
	// be replaced, or be replaced later.
	WritePartRecord(ctx context.Context, r poison.PartRecord, at uint64) error
}

// partRecordWriter reads the record of refused parts from the store and writes it. The fleet
// decides when.
type partRecordWriter struct {
	store PartRecordStore
	fleet *fleet.Fleet
	log   *zap.Logger
	// feedRead is notified when the operators' feed was read as a whole: a router reads the record
	// once it has a configuration.
	feedRead signal
	// failedCalls counts the failed calls since the last successful one.
	failedCalls int
}

// step does what the fleet wants to be done now, and otherwise waits.
func (w *partRecordWriter) step(ctx context.Context) {
	if w.fleet.PartRecordWork(time.Now()).None() {
		w.feedRead.waitAtMost(ctx, partRecordTick)
		return
	}
	defer w.feedRead.waitAtMost(ctx, partRecordTick)
	err := w.readAndWrite(ctx)
	var conflict *ConflictError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &conflict):
		// Another router has written the record. The next step reads it.
		w.log.Info("part_record_conflict", zap.Uint64("at", conflict.At), zap.Uint64("end", conflict.End))
	case err != nil:
		if w.failedCalls++; w.failedCalls == 1 {
			w.log.Warn("part_record_failed", logs.Err(err))
		}
		worker.Sleep(ctx, min(initialBackoff<<min(w.failedCalls-1, 8), maxBackoff))
	case w.failedCalls > 0:
		w.log.Info("part_record_recovered", zap.Int("tries", w.failedCalls))
		w.failedCalls = 0
	}
}

// readAndWrite reads the record, and writes it if it still differs from what the router knows and
// if no other router has written it meanwhile.
func (w *partRecordWriter) readAndWrite(ctx context.Context) error {
	page, err := w.store.PartRecord(ctx)
	if err != nil {
		return err
	}
	logPartChanges(w.log, "", w.fleet.ApplyPartRecord(time.Now(), page.Record))
	w.log.Info("part_record_read", zap.Int("parts", len(page.Record.Parts)))
	if !w.fleet.PartRecordWork(time.Now()).Write {
		return nil
	}
	next := w.fleet.NextPartRecord(time.Now())
	if err := w.store.WritePartRecord(ctx, next, page.End); err != nil {
		return err
	}
	w.fleet.RecordPartRecordWritten(next)
	w.log.Info("part_record_written", zap.Int("parts", len(next.Parts)))
	return nil
}
