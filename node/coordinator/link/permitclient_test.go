package link

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	leasing "peridotpier.example/core/lease"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/coordtest"
	"peridotpier.example/node/coordinator/permits"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/gate"
)

// stalledHost grants one permit and then reads nothing more.
type stalledHost struct {
	coordpb.DRPCCoordinatorUnimplementedServer
}

func (*stalledHost) Turns(st coordpb.DRPCCoordinator_TurnsStream) error {
	e, err := st.Recv()
	if err != nil {
		return err
	}
	if err := st.Send(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_GRANTED, Upstream: "u"}); err != nil {
		return err
	}
	<-st.Context().Done()
	return nil
}

// Guards against requests that end without an answer, with the host's process: the
// coordinator stops reading, as a host does that is frozen or disconnected, until the
// stream's buffers are full. A handler that reports its request's progress by writing
// to the stream itself then blocks all others, and neither a deadline nor the end of
// the grace period ends that.
func TestNoRequestWaitsForAHostThatReadsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	mux := drpcmux.New()
	assert.NilError(t, coordpb.DRPCRegisterCoordinator(mux, &stalledHost{}))
	near, far := net.Pipe() // unbuffered: a write waits for its reader
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	link := New(Config{Host: "h", Address: "own"}, Deps{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }, Log: event.NewLog(nil)})
	assert.NilError(t, link.permitClient.open(ctx, "other"))
	q := &gate.PermitRequest{Service: "s", Request: &fleet.Request{Model: "m"}}
	permit, err := link.RequestPermit(ctx, q)
	assert.NilError(t, err)
	assert.Equal(t, permit.Upstream, "u")
	coordtest.FinishesSoon(t, func() {
		for range 4 * permits.QueueLen {
			permit.Began()
		}
		permit.Release()
	})
	coordtest.FinishesSoon(t, func() {
		_, err := link.RequestPermit(ctx, q)
		assert.ErrorIs(t, err, errNoCoordinator)
	})
}

// Guards against an acting host that waits for an unanswered permit request before each
// of its own requests, forever: more answers to its own requests wait than its queue
// holds, its local stream ends, and no other is opened because nobody notices.
func TestAnEndedLocalStreamIsClosed(t *testing.T) {
	a := newTestHost("", noTable{}, leasing.Policy{}).newLink(Config{Host: "h"}).permitClient
	a.openLocal()
	a.stream.(*localStream).stop() // as a full queue does
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.stream == nil {
			return poll.Success()
		}
		return poll.Continue("the stream is still in use")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(2*time.Second))
}

// queueingHost lets all requests wait until its process ends.
type queueingHost struct {
	coordpb.DRPCCoordinatorUnimplementedServer
	queued chan *coordpb.TurnEvent
}

func (q *queueingHost) Turns(st coordpb.DRPCCoordinator_TurnsStream) error {
	for {
		e, err := st.Recv()
		if err != nil {
			return err
		}
		if err := st.Send(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_QUEUED}); err != nil {
			return err
		}
		q.queued <- e
	}
}

// Guards against requests that wait for a queue that is gone: the coordinator ends while
// hundreds wait there.
func TestNobodyWaitsForAQueueThatIsGone(t *testing.T) {
	synctest.Test(t, nobodyWaitsForAQueueThatIsGone) // no request gives up before its answer, however slow the machine
}

func nobodyWaitsForAQueueThatIsGone(t *testing.T) {
	const requests = 300
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	mux := drpcmux.New()
	coordinator := &queueingHost{queued: make(chan *coordpb.TurnEvent, requests)}
	assert.NilError(t, coordpb.DRPCRegisterCoordinator(mux, coordinator))
	near, far := net.Pipe()
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	link := New(Config{Host: "h", Address: "own"}, Deps{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }, Log: event.NewLog(nil)})
	assert.NilError(t, link.permitClient.open(ctx, "other"))
	ended := make(chan error, requests)
	for range requests {
		go func() {
			_, err := link.RequestPermit(ctx, &gate.PermitRequest{Service: "s", Request: &fleet.Request{Model: "m"}, Account: "team", MaxWait: time.Minute})
			ended <- err
		}()
	}
	coordtest.FinishesSoon(t, func() {
		for range requests {
			assert.Equal(t, (<-coordinator.queued).Account, "team")
		}
	})
	assert.NilError(t, far.Close())
	coordtest.FinishesSoon(t, func() {
		for range requests {
			assert.ErrorIs(t, <-ended, errNoCoordinator)
		}
	})
}
