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

// AppendBatch waits for a queued entry and appends it to the log together with
// the others in the queue. It repeats a failed append, and returns after a
// successful one, when no entry is left to append or when ctx is done.
func (s *Service) AppendBatch(ctx context.Context) {
	var batch record.Orders
	select {
	case <-ctx.Done():
		return
	case first := <-s.queue:
		batch = first
	}
	s.addQueued(&batch)
	for ctx.Err() == nil {
		batch = s.dropStaleClaims(batch)
		if isEmpty(batch) {
			return
		}
		data, err := record.Encode(batch)
		if err != nil {
			s.log.Error("encode_failed", logs.Err(err))
			return
		}
		if _, err = s.appender.Append(logservice.OrderStream, data); err == nil {
			worker.Sleep(ctx, appendPause)
			return
		}
		// The append may have taken effect. A second copy of an entry is
		// harmless: the first claim on a key wins and a result counts once.
		s.log.Warn("append_unacknowledged", zap.String("stream", logservice.OrderStream), logs.Err(err))
		worker.Sleep(ctx, retryDelay)
	}
}

// addQueued moves up to maxBatchEntries queued entries to the batch without
// waiting for more.
func (s *Service) addQueued(batch *record.Orders) {
	for range maxBatchEntries {
		select {
		case e := <-s.queue:
			batch.Claims = append(batch.Claims, e.Claims...)
			batch.VoidedClaims = append(batch.VoidedClaims, e.VoidedClaims...)
			batch.Results = append(batch.Results, e.Results...)
		default:
			return
		}
	}
}

// dropStaleClaims removes claims that were abandoned or read from the log
// meanwhile. An abandoned claim that waited for longer than abandonedRetention would
// not be voided when it is read.
func (s *Service) dropStaleClaims(batch record.Orders) record.Orders {
	kept := batch.Claims[:0:0]
	s.pending.Do(table.Hold{}, func(_ table.Hold, p *pending) {
		for _, c := range batch.Claims {
			if p.isPending(c.Serial) {
				kept = append(kept, c)
			}
		}
	})
	batch.Claims = kept
	return batch
}

func isEmpty(batch record.Orders) bool {
	return len(batch.Claims)+len(batch.VoidedClaims)+len(batch.Results) == 0
}
