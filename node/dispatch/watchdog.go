package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/event"
	"peridotpier.example/node/upstream/engineapi"
)

// inFlightGrace is how long what an upstream says it has sent may still be
// under way before the connection counts as silent.
const inFlightGrace = 100 * time.Millisecond

const (
	// silenceShare is the part of the time left until the deadline that an
	// exchange may be silent before it is looked into: found out later, there
	// would be no time left for another attempt.
	silenceShare = 4
	// leastSilence keeps requests with little time left from asking more often
	// than an upstream answers.
	leastSilence = 100 * time.Millisecond
)

// silence is how long this attempt's exchange may go without a byte.
func (a *attempt) silence() time.Duration {
	return min(a.d.cfg.IdleBeforeProbe, max(time.Until(a.w.Deadline)/silenceShare, leastSilence))
}

// watchdog notices that an exchange has gone without a byte for a while. Its
// fields are shared with the goroutine that relays.
type watchdog struct {
	touched  atomic.Int64 // reads that brought something
	position atomic.Int64 // of the last event passed on
}

func (w *watchdog) touch() { w.touched.Add(1) }

// watchExchange asks the upstream on a new connection, each time the exchange
// was silent for a while, whether there is something that did not arrive. If
// there is, the connection has gone silent: something between the two ends
// lost track of it, which neither end is told. TCP keep-alive would not show
// it soon enough (its default is hours), and passes where a middle box answers
// for the other end. The old connections are then retired as a whole, since
// they went through the same box, and the exchange is ended by cancel, to be
// recovered on a new connection. The returned function stops the watch and
// waits for it.
func (a *attempt) watchExchange(ctx context.Context, cancel context.CancelFunc) func() {
	done, pause := make(chan struct{}), a.silence()
	var timer *time.Timer
	var mu sync.Mutex // guards timer and stopped
	var stopped, running bool
	last := a.watch.touched.Load()
	check := func() {
		mu.Lock()
		running = !stopped
		mu.Unlock()
		if !running {
			return
		}
		now := a.watch.touched.Load()
		if now == last && a.silent(ctx) {
			cancel()
		}
		last = now
		mu.Lock()
		defer mu.Unlock()
		running = false
		if stopped {
			close(done)
			return
		}
		timer.Reset(pause)
	}
	mu.Lock()
	timer = time.AfterFunc(pause, check)
	mu.Unlock()
	return func() {
		cancel()
		mu.Lock()
		stopped = true
		timer.Stop()
		wait := running
		mu.Unlock()
		if wait {
			<-done
		}
	}
}

// silent asks whether the upstream has more for this exchange than arrived.
func (a *attempt) silent(ctx context.Context) bool {
	before := a.watch.touched.Load()
	f, err := a.d.upstreams.AttemptOutcome(ctx, a.ep.Address, a.id)
	if err != nil {
		// Refused: the process is gone, and its connections with it. No answer
		// at all: the upstream may be cut off for a while; go on waiting.
		if fault.From(fault.StepResume, err).Outcome != outcome.NotRun || ctx.Err() != nil {
			return false
		}
		a.d.deps.View.MarkDown(a.ep.Upstream)
		return true
	}
	waiting := f.State == engineapi.AttemptRunning && (!a.w.Stream || int64(f.Position) <= a.watch.position.Load())
	if waiting && a.sent.same(f.Incarnation) {
		return false
	}
	if sleep(ctx, inFlightGrace) != nil || a.watch.touched.Load() != before {
		return false
	}
	a.d.deps.Client.Retire(a.ep.Address)
	a.d.deps.Log.Emit(event.ConnectionUnresponsive, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id),
		zap.String("state", string(f.State)), zap.Int64("position", a.watch.position.Load()))
	return true
}

// incarnation is the process that an attempt was sent to, as far as known.
type incarnation struct {
	mu   sync.Mutex
	name string
}

func (i *incarnation) set(name string) {
	i.mu.Lock()
	i.name = name
	i.mu.Unlock()
}

func (i *incarnation) get() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.name
}

// same says whether an answer from the named process speaks for the attempt.
// One that restarted knows nothing of it, so its "unseen" proves nothing.
func (i *incarnation) same(name string) bool { return name != "" && i.get() == name }
