package link

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	leasing "peridotpier.example/core/lease"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/coordtest"
	"peridotpier.example/node/gate"
)

// recordedStream is a stream to a coordinator that a test answers for.
type recordedStream struct {
	mu   sync.Mutex
	sent []*coordpb.TurnEvent
	each chan *coordpb.TurnEvent
}

func newRecordedStream() *recordedStream {
	return &recordedStream{each: make(chan *coordpb.TurnEvent, 8)}
}

// Send implements permitSender.
func (s *recordedStream) Send(e *coordpb.TurnEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, e)
	s.each <- e
	return nil
}

// Close implements permitSender.
func (*recordedStream) Close() error { return nil }

// chargeInBackground charges 50 of the limit of a team over which this host was told that
// it binds, and returns the answer.
func chargeInBackground(ctx context.Context, l *Link, wait time.Duration) <-chan gate.LimitAnswer {
	out := make(chan gate.LimitAnswer, 1)
	team := &deploy.Team{Name: "t", Limit: quota.Limit{Unit: quota.Tokens, PerSecond: 100, Burst: 200}}
	go func() { out <- l.Charge(ctx, team, quota.Ask{Rank: 2, Cost: 50, MaxWait: wait}) }()
	return out
}

// Guards against a host that gives a request up before the time for which it may wait for
// its team's limit.
func TestARequestWaitsForItsTeamsLimit(t *testing.T) {
	l, s := newTestHost("", noTable{}, leasing.Policy{}).newLink(Config{Host: "h"}), newRecordedStream()
	l.permitClient.stream = s
	answer := chargeInBackground(t.Context(), l, time.Second)
	e := <-s.each
	assert.Equal(t, e.Kind, coordpb.TurnEvent_CHARGE)
	assert.Equal(t, e.RouteRank, uint32(2))
	assert.Equal(t, e.AccountWaitMs, uint32(1000))
	l.permitClient.deliver(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_QUEUED, ForLimit: true})
	time.Sleep(4 * firstAnswerTimeout)
	l.permitClient.deliver(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_GRANTED})
	assert.Assert(t, (<-answer).OK)
}

// Guards against requests that wait for a coordinator that is lost, that has stopped
// without notice, or for a caller that left.
func TestAWaitForALimitEnds(t *testing.T) {
	for name, end := range map[string]func(l *Link, cancel context.CancelFunc){
		"the stream breaks":    func(l *Link, _ context.CancelFunc) { l.permitClient.closeStream(nil) },
		"the caller leaves":    func(_ *Link, cancel context.CancelFunc) { cancel() },
		"no answer comes soon": func(*Link, context.CancelFunc) {},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l, s := newTestHost("", noTable{}, leasing.Policy{}).newLink(Config{Host: "h"}), newRecordedStream()
			l.permitClient.stream = s
			answer := chargeInBackground(ctx, l, 300*time.Millisecond)
			e := <-s.each
			l.permitClient.deliver(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_QUEUED, ForLimit: true})
			end(l, cancel)
			coordtest.FinishesSoon(t, func() {
				got := <-answer
				assert.Assert(t, !got.Known, "this host decides by itself")
			})
			last := e
			for len(s.each) > 0 {
				last = <-s.each
			}
			if name != "the stream breaks" {
				assert.Equal(t, last.Kind, coordpb.TurnEvent_END)
				assert.Assert(t, last.Uncharged)
			}
			l.permitClient.mu.Lock()
			defer l.permitClient.mu.Unlock()
			assert.Equal(t, len(l.permitClient.pending), 0)
		})
	}
}

// Guards against a team that is charged twice: the coordinator charged the request, but
// gave no permit in time, so that its host decides by itself and charges it again.
func TestAPermitThatIsGivenUpIsNotCharged(t *testing.T) {
	l, s := newTestHost("", noTable{}, leasing.Policy{}).newLink(Config{Host: "h"}), newRecordedStream()
	l.permitClient.stream = s
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		e := <-s.each
		l.permitClient.deliver(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_QUEUED, ForLimit: true})
		l.permitClient.deliver(&coordpb.TurnAnswer{Id: e.Id, Kind: coordpb.TurnAnswer_QUEUED})
		time.Sleep(10 * time.Millisecond)
		cancel()
	}()
	_, err := l.permitClient.request(ctx, &coordpb.TurnEvent{Kind: coordpb.TurnEvent_ASK})
	assert.ErrorIs(t, err, context.Canceled)
	end := <-s.each
	assert.Equal(t, end.Kind, coordpb.TurnEvent_END)
	assert.Assert(t, end.Uncharged)
}
