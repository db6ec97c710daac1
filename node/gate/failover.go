package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/fleet"
	"peridotpier.example/node/pace"
)

// failover ends an attempt at an upstream that is unresponsive, or slow to respond,
// as soon as the request may leave and can be sent to another. Being unresponsive alone
// ends nothing: an engine that preempts a request for more urgent ones sends nothing
// either, and continues with the request later.
type failover struct {
	q      *request
	at     *fleet.Entry    // of the attempt's upstream; nil: the attempt is at another host
	ctx    context.Context // of the attempt
	cancel context.CancelCauseFunc
	pieces atomic.Int64 // number of pieces of the response that arrived

	mu        sync.Mutex
	searching bool
	ended     bool
	searches  sync.WaitGroup
}

// failoverPollInterval is how often a request at an unresponsive upstream checks for
// another: a fraction of the shortest objectives.
const failoverPollInterval = 50 * time.Millisecond

// Reasons why an attempt is ended in favour of another.
var (
	errUnresponsive = errors.New("silent")
	errSlow         = errors.New("slow")
)

// failedOver is the cause of the context of an attempt that was ended in favour of another.
type failedOver struct {
	reason error
	charge charge // of the other attempt
}

// Error implements error.
func (f *failedOver) Error() string { return f.reason.Error() }

// failoverReason returns why an attempt was ended in favour of another; "": it was not.
func failoverReason(ctx context.Context) string {
	var f *failedOver
	if errors.As(context.Cause(ctx), &f) {
		return f.Error()
	}
	return ""
}

// failoverCharge returns the charge of the attempt in whose favour another was ended.
func failoverCharge(ctx context.Context) *charge {
	var f *failedOver
	if errors.As(context.Cause(ctx), &f) {
		return &f.charge
	}
	return nil
}

// onUnresponsive is called when nothing has arrived from the upstream for so long that it
// counts as unresponsive since the given time.
func (f *failover) onUnresponsive(since time.Time) {
	f.startSearch(f.pieces.Load(), errUnresponsive, since)
}

// onHostUnresponsive is called when nothing has arrived from the other host for a while.
func (f *failover) onHostUnresponsive() { f.onUnresponsive(f.q.g.deps.Now()) }

// onSlow is called when the response has not started in time.
func (f *failover) onSlow() { f.startSearch(0, errSlow, f.q.g.deps.Now()) }

// startSearch starts searching for another upstream. It may be called from any
// goroutine and does not block.
func (f *failover) startSearch(pieces int64, cause error, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching || f.ended {
		return
	}
	f.searching = true
	f.searches.Add(1)
	go f.search(pieces, cause, since)
}

// search ends the attempt once the request may be retried and another upstream could
// accept it. It stops when the present upstream sends something.
func (f *failover) search(pieces int64, cause error, since time.Time) {
	defer f.searches.Done()
	defer func() { f.mu.Lock(); f.searching = false; f.mu.Unlock() }()
	var polls ownPauses
	for f.pieces.Load() == pieces {
		polls.record(f.q.g.deps.Now())
		if f.mayLeave(since, &polls) && f.q.mayMove() {
			if c := f.q.takeRetry(f.ctx); c.allowed {
				f.cancel(&failedOver{cause, c})
				return
			}
		}
		if !pace.Sleep(f.ctx, failoverPollInterval) {
			return
		}
	}
}

const (
	// maxPollDelay is how much later than intended a poll may come: after more, this process
	// was paused, and what arrived meanwhile has not been read yet.
	maxPollDelay = 150 * time.Millisecond
	// minPolls is how many polls follow a pause before silence counts as the upstream's: in
	// the time between them what had arrived is read.
	minPolls = 3
)

// ownPauses notices pauses of this process by its polls.
type ownPauses struct {
	last          time.Time
	uninterrupted int // polls since the last pause
}

func (p *ownPauses) record(now time.Time) {
	if now.Sub(p.last) > failoverPollInterval+maxPollDelay {
		p.uninterrupted = 0
	}
	p.last = now
	p.uninterrupted++
}

// isOver reports whether a pause is long enough ago.
func (p *ownPauses) isOver() bool { return p.uninterrupted >= minPolls }

// streamStay is how long a stream stays with an upstream that counts as unresponsive, which
// it does by health.DefaultPolicy after 0.7 s. The sum lies above the second for which a sound
// upstream, which works on, may send nothing, and leaves a quarter of the two seconds after
// which the first callers give up for going on elsewhere.
const streamStay = 800 * time.Millisecond

// mayLeave reports whether the request may leave an upstream that counts as unresponsive
// since the given time. A stream must not run at two upstreams at once, so it stays for a
// while, unless the upstream's process is gone or this host is known not to reach it. That
// nothing arrives from any upstream does not show that: all of them may be silent, and work on.
func (f *failover) mayLeave(since time.Time, polls *ownPauses) bool {
	switch {
	case f.at == nil, f.q.route.Repeatable():
		return true
	case f.at.IsGone(), f.q.cutOff() && !f.q.g.deps.Detour.BySilence():
		return true
	}
	return polls.isOver() && f.q.g.deps.Now().Sub(since) >= f.q.g.streamStay
}

// mayMove reports whether another upstream could accept the request, or, while this host
// reaches none, another host.
func (q *request) mayMove() bool {
	if q.cutOff() && q.hop == nil {
		return q.mayDetour()
	}
	e, _ := q.pickFor(true)
	return e != nil
}

// stay keeps the attempt at its upstream from now on: its response is about to be
// forwarded and could not be resumed at another. It returns false if the attempt
// has just been ended.
func (f *failover) stay() bool {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.pieces.Add(1) // ends a search
	f.searches.Wait()
	return f.ctx.Err() == nil
}

// close cancels the attempt's context and waits for a running search to end: the search
// reads fields of the request that the next attempt changes.
func (f *failover) close() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.cancel(nil)
	f.searches.Wait()
}
