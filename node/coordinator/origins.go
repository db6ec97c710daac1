package coordinator

import (
	"context"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
)

// KeepOrigins implements coordpb.DRPCCoordinatorServer.
func (s service) KeepOrigins(_ context.Context, b *coordpb.OriginBatch) (*coordpb.OriginKept, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callKeepOrigins, 1)
	now := s.c.now()
	for _, rec := range wire.DecodeOrigins(b) {
		s.c.deps.Origins.Put(rec, now)
	}
	return &coordpb.OriginKept{Id: s.c.id}, nil
}

// historyRead is the answer to origin.HistoryKey of a host that knows what hosts knew before it.
const historyRead = "read"

// FindOrigin implements coordpb.DRPCCoordinatorServer. It answers "known" without a version
// where several began the streams with the key.
func (s service) FindOrigin(ctx context.Context, q *coordpb.OriginCall) (*coordpb.OriginAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callFindOrigin, 1)
	if origin.Key(q.Key) == origin.HistoryKey() {
		if s.c.deps.LoadHistory == nil || !s.c.deps.LoadHistory(ctx) {
			return &coordpb.OriginAnswer{}, nil
		}
		return &coordpb.OriginAnswer{Known: true, Software: historyRead}, nil
	}
	f := s.c.deps.Origins.Find(origin.Key(q.Key), s.c.now())
	return &coordpb.OriginAnswer{Known: f.Known() || f.Several, Software: f.Software}, nil
}
