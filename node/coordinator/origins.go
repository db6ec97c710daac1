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

// FindOrigin implements coordpb.DRPCCoordinatorServer.
func (s service) FindOrigin(_ context.Context, q *coordpb.OriginCall) (*coordpb.OriginAnswer, error) {
	s.c.deps.Metrics.CountKind(metrics.PeerCalls, callFindOrigin, 1)
	software, ok := s.c.deps.Origins.Find(origin.Key(q.Key), s.c.now())
	return &coordpb.OriginAnswer{Known: ok, Software: software}, nil
}
