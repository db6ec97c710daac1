package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/pace"
)

// slowList is a store whose list comes in parts, each after a delay.
type slowList struct {
	source
	parts        int
	timePerPart  time.Duration
	readsStarted atomic.Int32 // reads of the list
	partsRead    atomic.Int32
}

func (s *slowList) ReadUpstreams(ctx context.Context, more func() error) (follow.UpstreamUpdate, uint64, error) {
	s.readsStarted.Add(1)
	for part := range s.parts {
		if part > 0 {
			if err := more(); err != nil {
				return follow.UpstreamUpdate{}, 0, err
			}
		}
		select {
		case <-ctx.Done():
			return follow.UpstreamUpdate{}, 0, ctx.Err()
		case <-time.After(s.timePerPart):
		}
		s.partsRead.Add(1)
	}
	return follow.UpstreamUpdate{Put: []deploy.Upstream{{ID: "u"}}}, 1, nil
}

// listedBy runs a host's upstreams feed until the timeout and reports whether the host
// has a list.
func listedBy(s *slowList, othersProbeFirst bool, timeout time.Duration, meanwhile func(context.Context, *follow.Follower)) bool {
	var listed atomic.Bool
	log := event.NewLog(nil)
	config := follow.NewActiveConfig(log)
	config.ApplyIfNewer(&deploy.Config{Version: 1}, "test")
	f := follow.New(follow.Deps{Source: s, Config: config, Upstreams: discardUpstreams{}, Log: log, OthersProbeFirst: func() bool { return othersProbeFirst }, OnListed: func() { listed.Store(true) }})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if meanwhile != nil {
		go meanwhile(ctx, f)
	}
	_ = f.RunUpstreams(ctx) // ends with ctx
	return listed.Load()
}

// Guards against a host that is not ready half a minute after its start, although it
// reads the store all the time. The list has thousands of entries and the host's link
// needs two seconds for it; if the complete list had the timeout of one call, it would be
// read anew each time.
func TestALongListIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowList{parts: 7, timePerPart: 400 * time.Millisecond}
		assert.Assert(t, listedBy(s, false, 4*time.Second, nil))
		assert.Equal(t, s.readsStarted.Load(), int32(1))
	})
}

// Guards against a host that waits for a part which never comes: it times out like one
// call.
func TestAPartThatStallsTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowList{parts: 2, timePerPart: time.Hour}
		assert.Assert(t, !listedBy(s, false, 5*time.Second, nil))
		assert.Assert(t, s.readsStarted.Load() >= 2)
	})
}

// Guards against needless reads after 299 hosts were killed together: each read a list of
// 3,000 from the store to its end, although one of them soon held the lease and relayed
// the list.
func TestTheReadOfARelayedListEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowList{parts: 7, timePerPart: 100 * time.Millisecond}
		relayList := func(ctx context.Context, f *follow.Follower) {
			for pace.Sleep(ctx, 150*time.Millisecond) {
				f.ApplyRelay(follow.Relay{StoreAge: time.Millisecond, UpstreamsVersion: 3, Complete: true, UpstreamUpdate: follow.UpstreamUpdate{Put: []deploy.Upstream{{ID: "u"}}}})
			}
		}
		assert.Assert(t, listedBy(s, true, 3*time.Second, relayList))
		assert.Assert(t, s.partsRead.Load() <= 2, "%d parts", s.partsRead.Load())
	})
}
