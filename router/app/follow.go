package app

import (
	"context"
	"time"

	"camphorpulley.org/base/logs"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/instance"
	"camphorpulley.org/core/node"
	"camphorpulley.org/core/table"
	"camphorpulley.org/core/upstream"
	"camphorpulley.org/router/follow"
)

const (
	// snapshotEvery is the longest time between two snapshots in the log.
	snapshotEvery = time.Minute
	// snapshotCheck is the interval at which that is checked.
	snapshotCheck = 10 * time.Second
)

// follow reads the platform's streams.
func (r *Router) follow(ctx context.Context) {
	r.tail(ctx, logservice.ConfigStream, follow.Reader{Trimmed: r.node.Trimmed, Record: r.configRecord})
	r.tail(ctx, logservice.OrderStream, follow.Reader{Record: func(p logservice.Record) { r.desk.ApplyRecord(time.Now(), p) }})
	r.tail(ctx, logservice.SuspectStream, follow.Reader{Record: r.suspectRecord})
}

func (r *Router) tail(ctx context.Context, stream string, reader follow.Reader) {
	t := &follow.Tail{Client: r.client, Stream: stream, Log: r.log, Reader: reader}
	r.clock.Loop(ctx, t.Step)
}

// configRecord folds a record of the configuration's stream.
func (r *Router) configRecord(p logservice.Record) {
	entry, err := record.Decode[record.Config](p.Data)
	if err != nil {
		r.log.Error("config_record_invalid", zap.Uint64("offset", uint64(p.Offset)), logs.Err(err))
	}
	switch {
	case entry.Proposal != nil:
		r.propose(p.Offset, *entry.Proposal)
	case entry.Snapshot != nil:
		r.snapshot.Do(table.Hold{}, func(_ table.Hold, last *time.Time) { *last = time.Now() })
		r.carry(r.node.Adopt(time.Now(), *entry.Snapshot))
		r.node.Skip(p.Offset)
	default:
		r.node.Skip(p.Offset)
	}
}

func (r *Router) propose(offset core.Offset, p config.Proposal) {
	effects, err := r.node.Propose(time.Now(), offset, p)
	r.carry(effects)
	var void *config.VoidError
	var gap *config.GapError
	switch {
	case errors.As(err, &void):
		r.log.Info("proposal_rejected", zap.Uint64("offset", uint64(offset)), zap.Uint64("base", uint64(void.Base)),
			zap.Uint64("in_force", uint64(void.InForce)), zap.String("author", p.Author))
	case errors.As(err, &gap):
		r.log.Warn("proposal_deferred", zap.Uint64("offset", uint64(offset)))
	}
}

// copySnapshot appends the configuration in force again before the log drops
// it. One router does: the first by name among the live ones.
func (r *Router) copySnapshot(now time.Time) {
	s, gap, _ := r.node.Configuration()
	due := table.Read(r.snapshot, table.Hold{}, func(last *time.Time) bool { return now.Sub(*last) >= snapshotEvery })
	if gap || s.Revision.Number == 0 || !due || !r.node.First(now) {
		return
	}
	data, err := record.Encode(record.Config{Snapshot: &s})
	if err == nil {
		_, err = r.client.Append(logservice.ConfigStream, data)
	}
	if err != nil {
		r.log.Warn("snapshot_append_failed", logs.Err(err))
	}
}

func (r *Router) suspectRecord(p logservice.Record) {
	s, err := record.Decode[record.Suspect](p.Data)
	if err != nil {
		r.log.Error("suspect_record_invalid", zap.Uint64("offset", uint64(p.Offset)), logs.Err(err))
		return
	}
	r.node.Suspect(time.Now(), node.Suspect(s))
}

// pollList reads the platform's list of instances.
func (r *Router) pollList() {
	instances, err := r.client.Instances()
	if err != nil {
		r.log.Debug("instance_list_unavailable", logs.Err(err))
		return
	}
	routers := lo.FilterMap(instances, func(i logservice.Instance, _ int) (instance.Router, bool) {
		return instance.Router{
			ID: core.RouterID(i.ID), DataCentre: i.DataCentre, Seat: i.Seat, Address: i.Address, Leaving: i.Leaving,
		}, i.Role == logservice.Entry && i.ID != r.file.Router.ID
	})
	upstreams := lo.FilterMap(instances, func(i logservice.Instance, _ int) (upstream.Upstream, bool) {
		return upstream.Upstream{
			ID: core.UpstreamID(i.ID), Pool: i.Pool, DataCentre: i.DataCentre, Address: i.Address, Leaving: i.Leaving,
		}, i.Role == logservice.Upstream
	})
	r.node.Listed(routers, upstreams)
	r.listed.Store(true)
}
