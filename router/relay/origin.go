package relay

import (
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/core"
	"camphorpulley.org/core/fleet"
	"camphorpulley.org/core/lineage"
)

// originTimeout is how long a request waits for what other routers know of the stream that
// it resumes: several round trips between data centres of a region.
const originTimeout = 60 * time.Millisecond

// findOrigin finds at which software release the stream began that the caller resumes. It
// asks the holders of its record unless this router has one.
func (s *callState) findOrigin(now time.Time) {
	own, asks := s.forwarder.Fleet.LookUpOrigin(now, s.Request)
	replies := s.askHolders(asks)
	s.Origin = lineage.Resolve(append([]lineage.Report{own}, replies...)...)
	replied := lineage.Unsure
	for _, r := range replies {
		replied = max(replied, r.Knowledge)
	}
	s.forwarder.Log.Info("stream_origin", zap.String("request", s.ID), zap.String("resumes", s.Resumes), zap.Bool("known", s.Origin.Known),
		zap.String("release", s.Origin.Release), zap.Stringer("own", own.Knowledge), zap.Stringer("replied", replied), zap.Int("asked", len(asks)), zap.Int("replies", len(replies)),
		zap.Duration("took", time.Since(now)))
}

// askHolders returns the replies of other routers. It waits until one of them has a record,
// all have replied, originTimeout is over or the caller disconnects.
func (s *callState) askHolders(asks []fleet.Envelope) []lineage.Report {
	f := s.forwarder
	if len(asks) == 0 || f.Send == nil {
		return nil
	}
	replies, closeInbox := f.originReplies.open(s.Stream(), len(asks))
	defer closeInbox()
	for _, e := range asks {
		f.Send(e)
	}
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	var all []lineage.Report
	for len(all) < len(asks) {
		select {
		case t := <-replies:
			if all = append(all, t); t.Knowledge == lineage.Recorded {
				return all
			}
		case <-s.ctx.Done():
			return all
		case <-timeout.C:
			return all
		}
	}
	return all
}

// OriginReplied passes what another router knows of a stream to the requests that take it
// up.
func (f *Forwarder) OriginReplied(stream core.Digest, t lineage.Report) {
	f.originReplies.deliver(stream, t)
}

// recordBeginning tells the holders of a stream at which release it is about to begin.
func (a *attempt) recordBeginning() {
	f := a.forwarder
	messages := f.Fleet.RecordBeginning(time.Now(), a.Request, a.target)
	if f.Send == nil {
		return
	}
	for _, e := range messages {
		f.Send(e)
	}
}

// revokeBeginning forgets at which release the stream began, and tells its holders, if another
// process may have begun it than the one by whose entry the upstream was chosen.
func (a *attempt) revokeBeginning(now time.Time) {
	f := a.forwarder
	if !a.began {
		return
	}
	revoked, messages := f.Fleet.RevokeBeginning(now, a.Request, a.target)
	if !revoked {
		return
	}
	a.began, a.Origin.Known = false, false
	f.Log.Info("stream_origin_revoked", zap.String("request", a.ID), zap.String("upstream", string(a.target.ID)), zap.String("release", a.target.Release))
	if f.Send == nil {
		return
	}
	for _, e := range messages {
		f.Send(e)
	}
}
