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

// slowList is a store whose list comes in parts, each after a time.
type slowList struct {
	source
	parts int
	each  time.Duration
	begun atomic.Int32 // readings of the list
	read  atomic.Int32 // parts
}

func (s *slowList) ReadUpstreams(ctx context.Context, more func() error) (follow.UpstreamUpdate, uint64, error) {
	s.begun.Add(1)
	for part := range s.parts {
		if part > 0 {
			if err := more(); err != nil {
				return follow.UpstreamUpdate{}, 0, err
			}
		}
		select {
		case <-ctx.Done():
			return follow.UpstreamUpdate{}, 0, ctx.Err()
		case <-time.After(s.each):
		}
		s.read.Add(1)
	}
	return follow.UpstreamUpdate{Put: []deploy.Upstream{{ID: "u"}}}, 1, nil
}

// listedBy runs a host's upstreams' feed for a time and says whether it has a list.
func listedBy(s *slowList, patient bool, within time.Duration, meanwhile func(context.Context, *follow.Follower)) bool {
	var listed atomic.Bool
	log := event.NewLog(nil)
	config := follow.NewActiveConfig(log)
	config.ApplyIfNewer(&deploy.Config{Version: 1}, "test")
	f := follow.New(follow.Deps{Source: s, Config: config, Upstreams: listener{}, Log: log, OthersProbeFirst: func() bool { return patient }, OnListed: func() { listed.Store(true) }})
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if meanwhile != nil {
		go meanwhile(ctx, f)
	}
	_ = f.RunUpstreams(ctx) // ends with ctx
	return listed.Load()
}

// Symptom: a host is not ready half a minute after its start, while it reads the
// store all the time.
// Sequence: the list has thousands of entries; the host's link needs two seconds
// for it.
// Cause: the whole list has the time of one call, and is read anew each time.
func TestALongListIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowList{parts: 7, each: 400 * time.Millisecond}
		assert.Assert(t, listedBy(s, false, 4*time.Second, nil))
		assert.Equal(t, s.begun.Load(), int32(1))
	})
}

// A part that never comes is given up in the time of one call.
func TestAPartThatStallsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowList{parts: 2, each: time.Hour}
		assert.Assert(t, !listedBy(s, false, 5*time.Second, nil))
		assert.Assert(t, s.begun.Load() >= 2)
	})
}

// Symptom: 299 hosts that were killed together read a list of 3,000 from the store.
// Sequence: one of them holds the lease soon and tells the others.
// Cause: each reads on though it was told.
func TestAListThatIsToldIsNotReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowList{parts: 7, each: 100 * time.Millisecond}
		told := func(ctx context.Context, f *follow.Follower) {
			for pace.Sleep(ctx, 150*time.Millisecond) {
				f.ApplyRelay(follow.Relay{StoreAge: time.Millisecond, UpstreamsVersion: 3, Complete: true, UpstreamUpdate: follow.UpstreamUpdate{Put: []deploy.Upstream{{ID: "u"}}}})
			}
		}
		assert.Assert(t, listedBy(s, true, 3*time.Second, told))
		assert.Assert(t, s.read.Load() <= 2, "%d parts", s.read.Load())
	})
}
