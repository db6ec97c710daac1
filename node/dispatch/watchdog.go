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

// inFlightGrace is how long bytes that an upstream reports as sent may still be
// in flight before the connection counts as stalled.
const inFlightGrace = 100 * time.Millisecond

const (
	// idleDivisor divides the time left until the deadline; an exchange that was
	// idle for the quotient is probed. If a stall were noticed later, there would
	// be no time left for another attempt.
	idleDivisor = 4
	// minIdleBeforeProbe keeps requests with little time left from probing more
	// often than an upstream can answer.
	minIdleBeforeProbe = 100 * time.Millisecond
)

// idleBeforeProbe returns how long this attempt's exchange may go without a byte
// before it is probed.
func (a *attempt) idleBeforeProbe() time.Duration {
	return min(a.d.cfg.IdleBeforeProbe, max(time.Until(a.w.Deadline)/idleDivisor, minIdleBeforeProbe))
}

// watchdog detects that an exchange has been idle. Its fields are shared with
// the goroutine that forwards the answer.
type watchdog struct {
	reads    atomic.Int64 // number of reads that returned bytes
	position atomic.Int64 // position of the last event that was forwarded
}

func (w *watchdog) recordRead() { w.reads.Add(1) }

// watchExchange watches an exchange. Each time the exchange was idle for a
// while, it asks the upstream on a new connection whether it has sent something
// that did not arrive. If so, the connection is stalled: something between the
// two ends has lost its state, and neither end is notified. TCP keep-alive would
// not detect this soon enough (its default is hours), and it succeeds where a
// middlebox answers for the other end. The old connections to the upstream are
// then all retired, since they go through the same middlebox, and the exchange
// is ended by cancel, so that the attempt can be recovered on a new connection.
// The returned function stops the watch and waits for its end.
func (a *attempt) watchExchange(ctx context.Context, cancel context.CancelFunc) func() {
	done, interval := make(chan struct{}), a.idleBeforeProbe()
	var timer *time.Timer
	var mu sync.Mutex // guards timer, stopped and running
	var stopped, running bool
	last := a.watch.reads.Load()
	check := func() {
		mu.Lock()
		running = !stopped
		mu.Unlock()
		if !running {
			return
		}
		now := a.watch.reads.Load()
		if now == last && a.isStalled(ctx) {
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
		timer.Reset(interval)
	}
	mu.Lock()
	timer = time.AfterFunc(interval, check)
	mu.Unlock()
	return func() {
		cancel()
		mu.Lock()
		stopped = true
		timer.Stop()
		checking := running
		mu.Unlock()
		if checking {
			<-done
		}
	}
}

// isStalled reports whether nothing more can arrive on the exchange: the upstream
// no longer runs the attempt or has sent more of its answer than arrived, or
// nothing listens at the upstream's address.
func (a *attempt) isStalled(ctx context.Context) bool {
	readsBefore := a.watch.reads.Load()
	f, err := a.d.upstreams.AttemptOutcome(ctx, a.ep.Address, a.id)
	if err != nil {
		// A refused connection means that the process has terminated, and its
		// connections with it. Without any answer the upstream may be
		// unreachable for a while; go on waiting.
		if fault.From(fault.StepResume, err).Outcome != outcome.NotRun || ctx.Err() != nil {
			return false
		}
		a.d.deps.View.MarkDown(a.ep.Upstream)
		return true
	}
	waiting := f.State == engineapi.AttemptRunning && (!a.w.Stream || int64(f.Position) <= a.watch.position.Load())
	if waiting && a.sentTo.matches(f.Incarnation) {
		return false
	}
	if sleep(ctx, inFlightGrace) != nil || a.watch.reads.Load() != readsBefore {
		return false
	}
	a.d.deps.Client.Retire(a.ep.Address)
	a.d.deps.Log.Emit(event.ConnectionUnresponsive, zap.String(event.FieldPeer, a.ep.Upstream), zap.String("attempt", a.id),
		zap.String("state", string(f.State)), zap.Int64("position", a.watch.position.Load()))
	return true
}

// incarnationRef is the incarnation that an attempt was sent to, as far as known.
type incarnationRef struct {
	mu   sync.Mutex
	name string
}

func (i *incarnationRef) set(name string) {
	i.mu.Lock()
	i.name = name
	i.mu.Unlock()
}

func (i *incarnationRef) get() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.name
}

// matches reports whether a report from the named incarnation is valid for the
// attempt. An upstream that has restarted knows nothing of it, so its "unseen"
// proves nothing.
func (i *incarnationRef) matches(name string) bool { return name != "" && i.get() == name }
