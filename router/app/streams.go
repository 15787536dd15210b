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
	"camphorpulley.org/router/logtail"
)

const (
	// snapshotInterval is the age of the newest snapshot in the log at which
	// another one is appended.
	snapshotInterval = time.Minute
	// snapshotCheckInterval is the interval at which that age is checked.
	snapshotCheckInterval = 10 * time.Second
)

// followStreams starts to follow the platform's log streams.
func (r *Router) followStreams(ctx context.Context) {
	r.followStream(ctx, logservice.ConfigStream, logtail.Handler{OnTrimmed: r.node.LogTrimmed, OnRecord: r.applyConfigRecord})
	r.followStream(ctx, logservice.OrderStream, logtail.Handler{OnRecord: func(p logservice.Record) { r.orders.ApplyRecord(time.Now(), p) }})
	r.followStream(ctx, logservice.SuspectStream, logtail.Handler{OnRecord: r.applySuspectRecord})
}

func (r *Router) followStream(ctx context.Context, stream string, handler logtail.Handler) {
	t := &logtail.Tail{Client: r.logClient, Stream: stream, Log: r.log, Handler: handler}
	r.clock.Repeat(ctx, t.Step)
}

// applyConfigRecord applies a record of the configuration stream, a proposal or
// a snapshot, to the node.
func (r *Router) applyConfigRecord(p logservice.Record) {
	entry, err := record.Decode[record.Config](p.Data)
	if err != nil {
		r.log.Error("config_record_invalid", zap.Uint64("offset", uint64(p.Offset)), logs.Err(err))
	}
	switch {
	case entry.Proposal != nil:
		r.applyProposal(p.Offset, *entry.Proposal)
	case entry.Snapshot != nil:
		r.snapshotSeenAt.Do(table.Hold{}, func(_ table.Hold, last *time.Time) { *last = time.Now() })
		r.applyEffects(r.node.ApplySnapshot(time.Now(), *entry.Snapshot))
		r.node.SkipRecord(p.Offset)
	default:
		r.node.SkipRecord(p.Offset)
	}
}

func (r *Router) applyProposal(offset core.Offset, p config.Proposal) {
	effects, err := r.node.ApplyProposal(time.Now(), offset, p)
	r.applyEffects(effects)
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

// refreshSnapshot appends the configuration in force to the log again if the
// newest snapshot is older than snapshotInterval, so that the log never trims
// the last one. Of all live routers only the first by ID does so.
func (r *Router) refreshSnapshot(now time.Time) {
	s, gap, _ := r.node.Configuration()
	due := table.Read(r.snapshotSeenAt, table.Hold{}, func(last *time.Time) bool { return now.Sub(*last) >= snapshotInterval })
	if gap || s.Revision.Number == 0 || !due || !r.node.IsFirstByID(now) {
		return
	}
	data, err := record.Encode(record.Config{Snapshot: &s})
	if err == nil {
		_, err = r.logClient.Append(logservice.ConfigStream, data)
	}
	if err != nil {
		r.log.Warn("snapshot_append_failed", logs.Err(err))
	}
}

func (r *Router) applySuspectRecord(p logservice.Record) {
	s, err := record.Decode[record.Suspect](p.Data)
	if err != nil {
		r.log.Error("suspect_record_invalid", zap.Uint64("offset", uint64(p.Offset)), logs.Err(err))
		return
	}
	r.node.RecordSuspect(time.Now(), node.SuspectUpdate(s))
}

// pollInstances reads the platform's list of instances and passes it to the
// node.
func (r *Router) pollInstances() {
	instances, err := r.logClient.Instances()
	if err != nil {
		r.log.Debug("instance_list_unavailable", logs.Err(err))
		return
	}
	routers := lo.FilterMap(instances, func(i logservice.Instance, _ int) (instance.Router, bool) {
		return instance.Router{
			ID: core.RouterID(i.ID), DataCentre: i.DataCentre, Seat: i.Seat, Address: i.Address, ShuttingDown: i.Draining,
		}, i.Role == logservice.RoleEntry && i.ID != r.settings.Router.ID
	})
	upstreams := lo.FilterMap(instances, func(i logservice.Instance, _ int) (upstream.Upstream, bool) {
		return upstream.Upstream{
			ID: core.UpstreamID(i.ID), Pool: i.Pool, DataCentre: i.DataCentre, Address: i.Address, Draining: i.Draining,
		}, i.Role == logservice.RoleUpstream
	})
	r.node.ApplyList(routers, upstreams)
	r.instanceListRead.Store(true)
}
