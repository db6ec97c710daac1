package link

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/relay"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
)

// When all hosts start at the same time, the acting coordinator cannot send the list to
// each of them within seconds: its size grows with the upstreams, and the number of
// times that it is sent with the hosts. The deputies forward it.

// listRetry is how long a host without a list waits before it asks again: by then the
// deputies have it.
const listRetry = 2 * wire.MinReportPeriod

// fetchList asks the deputies for the list, until one of them sends it.
func (l *Link) fetchList(ctx context.Context) {
	l.pace.setPeriod(listRetry)
	peers := l.peers()
	for _, i := range rand.Perm(len(peers)) {
		if peers[i] == l.cfg.Address || peers[i] == l.coordinatorAddress() {
			continue
		}
		if a, err := l.conns.List(ctx, peers[i]); err == nil && a.At > 0 && l.applyList(a) {
			return
		}
	}
}

// applyList applies a list that another host forwarded. Its age is unknown; later
// changes come with the answer to the next report.
func (l *Link) applyList(a *coordpb.ListAnswer) bool {
	put, err := relay.UnpackList(a.Packed)
	if err != nil {
		l.log.Emit(event.RoutesUnusable, zap.Error(err))
		return false
	}
	const unknown = time.Hour
	l.deps.Feed.ApplyRelay(follow.Relay{StoreAge: unknown, UpstreamsVersion: a.At, Complete: true, Compact: true, UpstreamUpdate: follow.UpstreamUpdate{Put: put}})
	return true
}
