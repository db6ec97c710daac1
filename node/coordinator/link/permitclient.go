package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/permits"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/gate"
	"peridotpier.example/node/pace"
)

const (
	// firstAnswerTimeout is how long the first answer to a permit request may take:
	// several round trips between data centres and the delay of a busy host. A host
	// waits this long at most for a coordinator that has stopped without notice.
	firstAnswerTimeout = 40 * time.Millisecond
	// localDecisionTime is how long a host decides by itself after a permit request
	// went unanswered.
	localDecisionTime = 600 * time.Millisecond
	// minOpenInterval is the minimum time between two attempts to open a stream.
	minOpenInterval = 300 * time.Millisecond
)

// maxAnswers is how many answers a request gets at most: that it waits for its team's
// limit, that it waits for an upstream, and the final one.
const maxAnswers = 3

// permitClient is a host's stream of permit requests to the acting coordinator.
type permitClient struct {
	link *Link

	mu          sync.Mutex
	stream      permitSender // nil: none is open
	pending     map[uint64]chan *coordpb.TurnAnswer
	lastID      uint64
	pausedUntil time.Time // until when this host decides by itself
	openedAt    time.Time // the last attempt to open a stream
}

// permitSender is the sending side of a stream, over the network or to this host's own
// coordinator. Neither of its methods blocks on the other side.
type permitSender interface {
	Send(*coordpb.TurnEvent) error
	Close() error
}

func newPermitClient(l *Link) *permitClient {
	return &permitClient{link: l, pending: map[uint64]chan *coordpb.TurnAnswer{}}
}

// run keeps a stream to the acting coordinator open until ctx ends.
func (c *permitClient) run(ctx context.Context) error {
	defer c.closeStream(nil)
	at := ""
	for c.waitNext(ctx, at) {
		address := c.link.coordinatorAddress()
		c.mu.Lock()
		open := c.stream != nil
		c.mu.Unlock()
		if open && address == at {
			continue
		}
		if open {
			c.closeStream(nil)
		}
		if address == "" || time.Since(c.openedAt) < minOpenInterval {
			continue
		}
		c.openedAt = time.Now()
		if c.open(ctx, address) == nil {
			at = address
		}
	}
	return ctx.Err()
}

// waitNext waits until the stream to the address at is to be checked again. It returns
// false when ctx has ended.
func (c *permitClient) waitNext(ctx context.Context, at string) bool {
	changed := c.link.linkChanged.Next()
	c.mu.Lock()
	open := c.stream != nil
	c.mu.Unlock()
	if open && c.link.coordinatorAddress() == at {
		return pace.SleepOrWake(ctx, idleInterval, changed)
	}
	return pace.Sleep(ctx, pollInterval)
}

// open opens a stream to the coordinator at an address.
func (c *permitClient) open(ctx context.Context, address string) error {
	if address == c.link.cfg.Address {
		c.openLocal()
		return nil
	}
	conn, err := c.link.conns.Get(ctx, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	st, err := coordpb.NewDRPCCoordinatorClient(conn).Turns(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return err
	}
	s := &peerStream{out: make(chan *coordpb.TurnEvent, permits.QueueLen), cancel: cancel}
	c.mu.Lock()
	c.stream = s
	c.mu.Unlock()
	go s.send(ctx, st)
	go func() {
		defer cancel()
		defer func() { _ = conn.Close() }()
		for {
			answer, err := st.Recv()
			if err != nil {
				c.closeStream(s)
				return
			}
			c.deliver(answer)
		}
	}()
	return nil
}

// peerStream is the permitSender to another host. Events wait in a queue: the handler of
// a request, and thus its response, must not block on a host that reads nothing.
type peerStream struct {
	out    chan *coordpb.TurnEvent
	cancel context.CancelFunc // ends the stream and the goroutine that sends
}

// errPermitQueueFull means that the coordinator reads more slowly than this host sends.
var errPermitQueueFull = errors.New("the queue of permit requests is full")

// Send implements permitSender.
func (p *peerStream) Send(e *coordpb.TurnEvent) error {
	select {
	case p.out <- e:
		return nil
	default:
		return errPermitQueueFull
	}
}

// Close implements permitSender.
func (p *peerStream) Close() error {
	p.cancel()
	return nil
}

// send writes the queued events until ctx ends.
func (p *peerStream) send(ctx context.Context, st coordpb.DRPCCoordinator_TurnsClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.out:
			if st.Send(e) != nil {
				p.cancel()
				return
			}
		}
	}
}

// localStream is the permitSender to the coordinator in this process.
type localStream struct {
	own  Coordinator
	to   *permits.Stream
	stop context.CancelFunc
}

// Send implements permitSender.
func (o *localStream) Send(e *coordpb.TurnEvent) error {
	if permits.NeedsActingHost(e) && !o.own.Acting() {
		return wire.ErrNotActing
	}
	o.own.Permits().Handle(o.to, e)
	return nil
}

// Close implements permitSender.
func (o *localStream) Close() error {
	o.stop()
	o.own.Permits().RemoveStream(o.to)
	return nil
}

func (c *permitClient) openLocal() {
	ctx, cancel := context.WithCancel(context.Background())
	to := permits.NewStream(cancel)
	s := &localStream{own: c.link.own, to: to, stop: cancel}
	c.mu.Lock()
	c.stream = s
	c.mu.Unlock()
	go func() {
		for {
			select {
			case <-ctx.Done():
				c.closeStream(s) // so that another is opened
				return
			case answer := <-to.Answers():
				c.deliver(answer)
			}
		}
	}()
}

// closeStream closes the stream if it is still st (nil: whichever is open). This host
// then decides by itself on requests that wait for an answer on it.
func (c *permitClient) closeStream(st permitSender) {
	c.mu.Lock()
	old := c.stream
	if old == nil || st != nil && old != st {
		c.mu.Unlock()
		return
	}
	c.stream = nil
	for id, ch := range c.pending {
		close(ch)
		delete(c.pending, id)
	}
	c.mu.Unlock()
	c.link.linkChanged.Notify()
	_ = old.Close()
}

func (c *permitClient) deliver(answer *coordpb.TurnAnswer) {
	if answer.Kind == coordpb.TurnAnswer_NEWS {
		c.link.pace.hasten(wire.Milliseconds(answer.WaitMs))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.pending[answer.Id]; ch != nil {
		select {
		case ch <- answer:
		default: // more would be a fault of the coordinator
		}
	}
}

// send sends an event. A stream on which that fails is closed.
func (c *permitClient) send(st permitSender, e *coordpb.TurnEvent) error {
	err := st.Send(e)
	if err != nil {
		c.closeStream(st)
	}
	return err
}

// start sends a request. Its answers arrive on the channel until done is called.
func (c *permitClient) start(e *coordpb.TurnEvent) (st permitSender, answers <-chan *coordpb.TurnAnswer, done func(), err error) {
	c.mu.Lock()
	st = c.stream
	if st == nil || time.Now().Before(c.pausedUntil) {
		c.mu.Unlock()
		return nil, nil, nil, errNoCoordinator
	}
	c.lastID++
	e.Id = c.lastID
	ch := make(chan *coordpb.TurnAnswer, maxAnswers)
	c.pending[e.Id] = ch
	c.mu.Unlock()
	done = func() {
		c.mu.Lock()
		delete(c.pending, e.Id)
		c.mu.Unlock()
	}
	if err := c.send(st, e); err != nil {
		done()
		return nil, nil, nil, err
	}
	return st, ch, done, nil
}

// request asks where a request may be dispatched, and waits until ctx ends at the
// latest.
func (c *permitClient) request(ctx context.Context, e *coordpb.TurnEvent) (*gate.Permit, error) {
	st, answers, done, err := c.start(e)
	if err != nil {
		return nil, err
	}
	defer done()
	answer, err := c.awaitAnswer(ctx, answers)
	if err != nil {
		_ = c.send(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END, Uncharged: true})
		return nil, err
	}
	switch answer.Kind {
	case coordpb.TurnAnswer_GRANTED:
	case coordpb.TurnAnswer_OVER:
		return &gate.Permit{OverLimit: overLimit(answer)}, nil
	default:
		return &gate.Permit{Reason: balance.ReasonFromCode(answer.Reason), AdapterUpstream: answer.Home, RetryAfter: wire.Milliseconds(answer.WaitMs)}, nil
	}
	return c.granted(st, e, answer), nil
}

// granted returns the permit of a request that was granted on a stream.
func (c *permitClient) granted(st permitSender, e *coordpb.TurnEvent, answer *coordpb.TurnAnswer) *gate.Permit {
	permit := &gate.Permit{Upstream: answer.Upstream, PredictedWait: wire.Milliseconds(answer.PredictedMs),
		InFlight: int(answer.Load), PendingPromptTokens: int(answer.Waiting), CachedTokens: int(answer.Cached), WithinLimit: answer.WithinLimit, WithinRoom: answer.WithinRoom, IsProbe: answer.Trial,
		LateStreams: float64(answer.LatePermille) / 1000, Advance: wire.Milliseconds(answer.AdvanceMs)}
	permit.Began = func() {
		_ = c.send(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_FIRST, Slowdown: wire.Percent(permit.StatedSlowdown), Success: permit.Success})
		permit.StatedSlowdown = 0
	}
	permit.NotListening = func() { _ = c.send(st, &coordpb.TurnEvent{Id: e.Id, Kind: c.refusedKind()}) }
	permit.Refused = func(load *fleet.ReportedLoad) {
		end := &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END, Refused: true}
		if load != nil && !load.CountsUnknown {
			end.LoadStated, end.Inside = true, uint32(load.Running+load.Waiting)
		}
		_ = c.send(st, end)
	}
	permit.Abandoned = func() {
		_ = c.send(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END, Abandoned: true})
	}
	permit.Release = func() {
		_ = c.send(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END, Slowdown: wire.Percent(permit.StatedSlowdown), Complete: permit.Complete})
	}
	return permit
}

// refusedKind returns how to report a request whose upstream refused the connection. While
// this host's own network path may be the cause, the request only ends.
func (c *permitClient) refusedKind() coordpb.TurnEvent_Kind {
	if c.link.deps.Fleet.OwnEvidenceDoubted() {
		return coordpb.TurnEvent_END
	}
	return coordpb.TurnEvent_ABSENT
}

// retract withdraws what this host reported of refused connections on the open stream.
func (c *permitClient) retract() {
	c.mu.Lock()
	st := c.stream
	c.mu.Unlock()
	if st != nil {
		_ = c.send(st, &coordpb.TurnEvent{Kind: coordpb.TurnEvent_RETRACT})
	}
}

// awaitAnswer waits for the first answer for firstAnswerTimeout, and for the final one
// until ctx ends.
func (c *permitClient) awaitAnswer(ctx context.Context, ch <-chan *coordpb.TurnAnswer) (*coordpb.TurnAnswer, error) {
	first := time.NewTimer(firstAnswerTimeout)
	defer first.Stop()
	waitsFor := balance.Found
	for {
		select {
		case answer, ok := <-ch:
			if !ok {
				return nil, errNoCoordinator
			}
			if answer.Kind != coordpb.TurnAnswer_QUEUED {
				return answer, nil
			}
			first.Stop()
			waitsFor = balance.ReasonFromCode(answer.Reason)
		case <-first.C:
			c.link.ReportSoon() // the report shows whether the coordinator is lost
			c.mu.Lock()
			c.pausedUntil = time.Now().Add(localDecisionTime)
			c.mu.Unlock()
			return nil, errNoCoordinator
		case <-ctx.Done():
			if waitsFor == balance.Found || c.isPaused() || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, ctx.Err()
			}
			return nil, &gate.NotGrantedError{Reason: waitsFor}
		}
	}
}

// isPaused reports whether this host decides by itself, since the coordinator left a
// request unanswered.
func (c *permitClient) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.pausedUntil)
}

// RequestPermit implements gate.Coordinator.
func (l *Link) RequestPermit(ctx context.Context, q *gate.PermitRequest) (*gate.Permit, error) {
	e := &coordpb.TurnEvent{Kind: coordpb.TurnEvent_ASK, Service: q.Service, Model: q.Request.Model, Adapter: q.Request.Adapter,
		Prompt: uint32(q.Cost.PromptTokens), Output: uint32(q.Cost.OutputTokens), Priority: int32(q.Priority), Reading: uint32(q.MaxPendingPromptTokens), Tried: q.Excluded,
		Warm: q.WithIdleConn, DataCentre: l.cfg.DataCentre, PauseBoundMs: uint32(max(q.PauseBound.Milliseconds(), 0)), InTimeMs: uint32(max(q.ObjectiveLeft.Milliseconds(), 0)), PatienceMs: uint32(max(q.MaxWait.Milliseconds(), 0)), Account: q.Account}
	if q.Team != nil {
		now := l.deps.Now()
		l.teams.withShare(q.Team, now, func(s *quota.Share) { s.AddDemand(q.Limit.Rank, q.Limit.Cost, now) })
		setAsk(e, q.Team.Name, &q.Limit)
	}
	for id, left := range q.Backoffs {
		e.Rests = append(e.Rests, &coordpb.UpstreamRest{Upstream: id, ForMs: uint32(left.Milliseconds()) + 1})
	}
	for _, p := range q.Request.PromptParts {
		e.Parts = append(e.Parts, &coordpb.Part{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return l.permitClient.request(ctx, e)
}

// errNoCoordinator means that no acting coordinator answers, so that this host decides
// by itself.
var errNoCoordinator = errors.New("no acting coordinator answers")
