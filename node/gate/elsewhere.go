package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/pace"
)

// elsewhere ends an attempt at an upstream that went silent, or is slow to begin,
// as soon as the request can go elsewhere. Silence alone ends nothing: an engine
// that puts a request aside for more urgent ones is silent too, and goes on with
// it later.
type elsewhere struct {
	q      *request
	ctx    context.Context // of the attempt
	cancel context.CancelCauseFunc
	heard  atomic.Int64 // pieces of the answer

	mu      sync.Mutex
	looking bool
	ended   bool
	looks   sync.WaitGroup
}

// elsewhereLook is how often a request at a silent upstream looks for another:
// a fraction of the shortest objectives.
const elsewhereLook = 50 * time.Millisecond

// The reasons to leave an upstream. The attempt has then one more send that was
// taken from what repeats are allowed.
var (
	errSilent = errors.New("silent")
	errSlow   = errors.New("slow")
)

// leftBecause says why the attempt was left; "": it was not.
func leftBecause(ctx context.Context) string {
	if why := context.Cause(ctx); errors.Is(why, errSilent) || errors.Is(why, errSlow) {
		return why.Error()
	}
	return ""
}

// silent is told that nothing has come from the upstream for a while.
func (l *elsewhere) silent() { l.begin(l.heard.Load(), errSilent) }

// slow is told that the answer has not begun in time.
func (l *elsewhere) slow() { l.begin(0, errSlow) }

// begin begins to look for another upstream. It may be called from any
// goroutine, and does not wait.
func (l *elsewhere) begin(heard int64, why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.looking || l.ended {
		return
	}
	l.looking = true
	l.looks.Add(1)
	go l.look(heard, why)
}

// look ends the attempt when the request may be sent once more and another
// upstream could take it now. It stops when the present one speaks.
func (l *elsewhere) look(heard int64, why error) {
	defer l.looks.Done()
	defer func() { l.mu.Lock(); l.looking = false; l.mu.Unlock() }()
	for l.heard.Load() == heard {
		if e, _ := l.q.pickAs(true); e != nil && l.q.g.deps.RetryBudget.Take(l.q.service.Name, l.q.g.deps.Now()) {
			l.cancel(why)
			return
		}
		if !pace.Sleep(l.ctx, elsewhereLook) {
			return
		}
	}
}

// stay keeps the attempt where it is from now on: its answer is about to begin,
// and cannot be gone on with elsewhere. It says no if the attempt has just left.
func (l *elsewhere) stay() bool {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.heard.Add(1) // ends a look
	l.looks.Wait()
	return l.ctx.Err() == nil
}

// end returns when nothing looks any more: what the look reads changes with the
// next attempt.
func (l *elsewhere) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.cancel(nil)
	l.looks.Wait()
}
