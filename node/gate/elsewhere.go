package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/pace"
)

// failover ends an attempt at an upstream that went silent, or is slow to begin,
// as soon as the request can go elsewhere. Silence alone ends nothing: an engine
// that puts a request aside for more urgent ones is silent too, and goes on with
// it later.
type failover struct {
	q      *request
	ctx    context.Context // of the attempt
	cancel context.CancelCauseFunc
	pieces atomic.Int64 // pieces of the answer

	mu        sync.Mutex
	searching bool
	ended     bool
	searches  sync.WaitGroup
}

// failoverPollInterval is how often a request at a silent upstream looks for another:
// a fraction of the shortest objectives.
const failoverPollInterval = 50 * time.Millisecond

// The reasons to leave an upstream. The attempt has then one more send that was
// taken from what repeats are allowed.
var (
	errUnresponsive = errors.New("silent")
	errSlow         = errors.New("slow")
)

// failoverReason says why the attempt was left; "": it was not.
func failoverReason(ctx context.Context) string {
	if cause := context.Cause(ctx); errors.Is(cause, errUnresponsive) || errors.Is(cause, errSlow) {
		return cause.Error()
	}
	return ""
}

// upstreamSilent is told that nothing has come from the upstream for a while.
func (f *failover) upstreamSilent() { f.startSearch(f.pieces.Load(), errUnresponsive) }

// upstreamSlow is told that the answer has not begun in time.
func (f *failover) upstreamSlow() { f.startSearch(0, errSlow) }

// startSearch begins to look for another upstream. It may be called from any
// goroutine, and does not wait.
func (f *failover) startSearch(pieces int64, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching || f.ended {
		return
	}
	f.searching = true
	f.searches.Add(1)
	go f.search(pieces, cause)
}

// search ends the attempt when the request may be sent once more and another
// upstream could take it now. It stops when the present one speaks.
func (f *failover) search(pieces int64, cause error) {
	defer f.searches.Done()
	defer func() { f.mu.Lock(); f.searching = false; f.mu.Unlock() }()
	for f.pieces.Load() == pieces {
		if e, _ := f.q.pickFor(true); e != nil && f.q.g.deps.RetryBudget.Take(f.q.service.Name, f.q.g.deps.Now()) {
			f.cancel(cause)
			return
		}
		if !pace.Sleep(f.ctx, failoverPollInterval) {
			return
		}
	}
}

// stay keeps the attempt where it is from now on: its answer is about to begin,
// and cannot be gone on with elsewhere. It says no if the attempt has just left.
func (f *failover) stay() bool {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.pieces.Add(1) // ends a look
	f.searches.Wait()
	return f.ctx.Err() == nil
}

// close returns when nothing looks any more: what the look reads changes with the
// next attempt.
func (f *failover) close() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.cancel(nil)
	f.searches.Wait()
}
