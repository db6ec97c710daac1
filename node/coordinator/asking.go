package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/gate"
	"peridotpier.example/node/pace"
)

const (
	// askBound is how long the first word on a question may take: several ways
	// between data centres and a busy host's delay. A host waits this long at
	// most for one that has stopped without a sign.
	askBound = 40 * time.Millisecond
	// askPause is how long a host decides by itself after a question went
	// unanswered.
	askPause = 600 * time.Millisecond
	// askRetry is the least time between two tries to open a stream.
	askRetry = 300 * time.Millisecond
)

// asking is a host's stream of questions to the one that decides for all.
type asking struct {
	link *Link

	mu     sync.Mutex
	stream askStream // nil: none
	asks   map[uint64]chan *coordpb.TurnAnswer
	next   uint64
	until  time.Time // until when this host decides by itself
	opened time.Time // the last try to open a stream
}

// askStream is the sending side of a stream, over the network or to this host's
// own coordinator. Neither of its methods waits for the other side.
type askStream interface {
	Send(*coordpb.TurnEvent) error
	Close() error
}

func newAsking(l *Link) *asking {
	return &asking{link: l, asks: map[uint64]chan *coordpb.TurnAnswer{}}
}

// run keeps a stream to the host that holds the lease until ctx ends.
func (a *asking) run(ctx context.Context) error {
	defer a.lose(nil)
	at := ""
	for a.pause(ctx, at) {
		address := a.link.where()
		a.mu.Lock()
		open := a.stream != nil
		a.mu.Unlock()
		if open && address == at {
			continue
		}
		if open {
			a.lose(nil)
		}
		if address == "" || time.Since(a.opened) < askRetry {
			continue
		}
		a.opened = time.Now()
		if a.open(ctx, address) == nil {
			at = address
		}
	}
	return ctx.Err()
}

// pause waits for the next look at a stream to an address; it says no when ctx ends.
func (a *asking) pause(ctx context.Context, at string) bool {
	moved := a.link.moved.Next()
	a.mu.Lock()
	open := a.stream != nil
	a.mu.Unlock()
	if open && a.link.where() == at {
		return pace.SleepOrWake(ctx, idleTick, moved)
	}
	return pace.Sleep(ctx, lookEach)
}

// open starts a stream.
func (a *asking) open(ctx context.Context, address string) error {
	if address == a.link.cfg.Address {
		a.openOwn()
		return nil
	}
	conn, err := a.link.conns.take(ctx, address)
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
	own := &peerStream{out: make(chan *coordpb.TurnEvent, turnQueue), cancel: cancel}
	a.mu.Lock()
	a.stream = own
	a.mu.Unlock()
	go own.send(ctx, st)
	go func() {
		defer cancel()
		defer func() { _ = conn.Close() }()
		for {
			answer, err := st.Recv()
			if err != nil {
				a.lose(own)
				return
			}
			a.deliver(answer)
		}
	}()
	return nil
}

// peerStream leads to another host. What is sent waits in a queue: a handler
// must not wait for a host that reads nothing, and its answer with it.
type peerStream struct {
	out    chan *coordpb.TurnEvent
	cancel context.CancelFunc // ends the stream, its sending too
}

// errTurnsFull: the host that gives turns reads more slowly than this one asks.
var errTurnsFull = errors.New("the stream of questions is full")

// Send implements askStream.
func (p *peerStream) Send(e *coordpb.TurnEvent) error {
	select {
	case p.out <- e:
		return nil
	default:
		return errTurnsFull
	}
}

// Close implements askStream.
func (p *peerStream) Close() error {
	p.cancel()
	return nil
}

// send writes what waits until ctx ends.
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

// ownStream leads to the coordinator in this process.
type ownStream struct {
	c    *Coordinator
	to   *turnStream
	stop context.CancelFunc
}

// Send implements askStream.
func (o *ownStream) Send(e *coordpb.TurnEvent) error {
	if asks(e) && !o.c.Acting() {
		return errNotHolding
	}
	o.c.turns.take(o.to, e)
	return nil
}

// Close implements askStream.
func (o *ownStream) Close() error {
	o.stop()
	o.c.turns.leave(o.to)
	return nil
}

func (a *asking) openOwn() {
	ctx, cancel := context.WithCancel(context.Background())
	to := &turnStream{out: make(chan *coordpb.TurnAnswer, turnQueue), cancel: cancel}
	own := &ownStream{c: a.link.own, to: to, stop: cancel}
	a.mu.Lock()
	a.stream = own
	a.mu.Unlock()
	go func() {
		for {
			select {
			case <-ctx.Done():
				a.lose(own) // so that another is opened
				return
			case answer := <-to.out:
				a.deliver(answer)
			}
		}
	}()
}

// lose ends the stream, if it is still st (nil: whichever it is), and has those
// who wait on it decide by themselves.
func (a *asking) lose(st askStream) {
	a.mu.Lock()
	old := a.stream
	if old == nil || st != nil && old != st {
		a.mu.Unlock()
		return
	}
	a.stream = nil
	for id, ch := range a.asks {
		close(ch)
		delete(a.asks, id)
	}
	a.mu.Unlock()
	a.link.moved.Notify()
	_ = old.Close()
}

func (a *asking) deliver(answer *coordpb.TurnAnswer) {
	if answer.Kind == coordpb.TurnAnswer_NEWS {
		a.link.pace.hasten(milliseconds(answer.WaitMs))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch := a.asks[answer.Id]; ch != nil {
		select {
		case ch <- answer:
		default: // two answers at most; a third would be a fault of the other side
		}
	}
}

// tell sends an event; a stream that fails is given up.
func (a *asking) tell(st askStream, e *coordpb.TurnEvent) error {
	err := st.Send(e)
	if err != nil {
		a.lose(st)
	}
	return err
}

// begin sends a question; its answers come on the channel until done is called.
func (a *asking) begin(e *coordpb.TurnEvent) (st askStream, answers <-chan *coordpb.TurnAnswer, done func(), err error) {
	a.mu.Lock()
	st = a.stream
	if st == nil || time.Now().Before(a.until) {
		a.mu.Unlock()
		return nil, nil, nil, errNoTurns
	}
	a.next++
	e.Id = a.next
	ch := make(chan *coordpb.TurnAnswer, 2)
	a.asks[e.Id] = ch
	a.mu.Unlock()
	done = func() {
		a.mu.Lock()
		delete(a.asks, e.Id)
		a.mu.Unlock()
	}
	if err := a.tell(st, e); err != nil {
		done()
		return nil, nil, nil, err
	}
	return st, ch, done, nil
}

// exchange asks what is answered at once, and waits until ctx ends at most.
func (a *asking) exchange(ctx context.Context, e *coordpb.TurnEvent) (*coordpb.TurnAnswer, error) {
	_, answers, done, err := a.begin(e)
	if err != nil {
		return nil, err
	}
	defer done()
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, errNoTurns
		}
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ask asks where a request may go and waits until ctx ends at most.
func (a *asking) ask(ctx context.Context, e *coordpb.TurnEvent) (*gate.Permit, error) {
	st, answers, done, err := a.begin(e)
	if err != nil {
		return nil, err
	}
	defer done()
	answer, err := a.await(ctx, answers)
	if err != nil {
		_ = a.tell(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END})
		return nil, err
	}
	switch answer.Kind {
	case coordpb.TurnAnswer_GRANTED:
	case coordpb.TurnAnswer_OVER:
		return &gate.Permit{OverLimit: true, RetryAfter: milliseconds(answer.WaitMs)}, nil
	default:
		return &gate.Permit{Reason: balance.ReasonFromCode(answer.Reason), AdapterUpstream: answer.Home, RetryAfter: milliseconds(answer.WaitMs)}, nil
	}
	return &gate.Permit{Upstream: answer.Upstream, Predicted: milliseconds(answer.PredictedMs),
		InFlight: int(answer.Load), PendingPromptTokens: int(answer.Waiting), CachedTokens: int(answer.Cached), WithinLimit: answer.WithinLimit, IsProbe: answer.Trial,
		Began:        func() { _ = a.tell(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_FIRST}) },
		NotListening: func() { _ = a.tell(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_ABSENT}) },
		Release:      func() { _ = a.tell(st, &coordpb.TurnEvent{Id: e.Id, Kind: coordpb.TurnEvent_END}) }}, nil
}

// await waits for the first word within askBound, and for the last until ctx ends.
func (a *asking) await(ctx context.Context, ch <-chan *coordpb.TurnAnswer) (*coordpb.TurnAnswer, error) {
	first := time.NewTimer(askBound)
	defer first.Stop()
	for {
		select {
		case answer, ok := <-ch:
			if !ok {
				return nil, errNoTurns
			}
			if answer.Kind != coordpb.TurnAnswer_QUEUED {
				return answer, nil
			}
			first.Stop()
		case <-first.C:
			a.link.ReportSoon() // which finds out whether the other is lost
			a.mu.Lock()
			a.until = time.Now().Add(askPause)
			a.mu.Unlock()
			return nil, errNoTurns
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// RequestPermit implements gate.Models.
func (l *Link) RequestPermit(ctx context.Context, q *gate.PermitRequest) (*gate.Permit, error) {
	e := &coordpb.TurnEvent{Kind: coordpb.TurnEvent_ASK, Service: q.Service, Model: q.Request.Model, Adapter: q.Request.Adapter,
		Prompt: uint32(q.Cost.PromptTokens), Output: uint32(q.Cost.OutputTokens), Priority: int32(q.Priority), Reading: uint32(q.MaxPendingPromptTokens), Tried: q.Excluded,
		Warm: q.WithIdleConn, DataCentre: l.cfg.DataCentre, InTimeMs: uint32(max(q.ObjectiveLeft.Milliseconds(), 0)), PatienceMs: uint32(max(q.MaxWait.Milliseconds(), 0))}
	if q.Team != nil {
		now := l.own.now()
		l.teams.with(q.Team, now, func(s *quota.Share) { s.AddDemand(q.Charge, now) })
		e.Team, e.Charge = q.Team.Name, uint32(q.Charge)
	}
	for id, left := range q.Backoffs {
		e.Rests = append(e.Rests, &coordpb.UpstreamRest{Upstream: id, ForMs: uint32(left.Milliseconds()) + 1})
	}
	for _, p := range q.Request.PromptParts {
		e.Parts = append(e.Parts, &coordpb.Part{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return l.asking.ask(ctx, e)
}
