package orders

import (
	"context"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/core/table"

	"go.uber.org/zap"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/base/worker"
)

// Commit appends the entries that wait, many in one append. It returns after
// one append, or when ctx is done.
func (d *Desk) Commit(ctx context.Context) {
	var batch record.Orders
	select {
	case <-ctx.Done():
		return
	case first := <-d.entries:
		batch = first
	}
	d.gather(&batch)
	data, err := record.Encode(batch)
	if err != nil {
		d.log.Error("encode_failed", logs.Err(err))
		return
	}
	for ctx.Err() == nil {
		if _, err = d.appender.Append(logservice.OrderStream, data); err == nil {
			worker.Sleep(ctx, appendPause)
			return
		}
		// The append may have taken effect: a second copy changes nothing,
		// since the first claim on a key wins and a result counts once.
		d.log.Warn("append_unacknowledged", zap.String("stream", logservice.OrderStream), logs.Err(err))
		batch = d.live(batch)
		if data, err = record.Encode(batch); err != nil || empty(batch) {
			return
		}
		worker.Sleep(ctx, failurePause)
	}
}

// gather adds the entries that wait to a batch.
func (d *Desk) gather(batch *record.Orders) {
	for range maxBatch {
		select {
		case e := <-d.entries:
			batch.Claims = append(batch.Claims, e.Claims...)
			batch.Voids = append(batch.Voids, e.Voids...)
			batch.Results = append(batch.Results, e.Results...)
		default:
			return
		}
	}
}

// live drops the claims that were given up or read meanwhile, so that they are
// not appended again.
func (d *Desk) live(batch record.Orders) record.Orders {
	kept := batch.Claims[:0:0]
	d.open.Do(table.Hold{}, func(_ table.Hold, o *open) {
		for _, c := range batch.Claims {
			if o.waits(c.Serial) {
				kept = append(kept, c)
			}
		}
	})
	batch.Claims = kept
	return batch
}

func empty(batch record.Orders) bool {
	return len(batch.Claims)+len(batch.Voids)+len(batch.Results) == 0
}
