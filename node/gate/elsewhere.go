package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/pace"
)

// leaving ends an attempt at an upstream that went silent, as soon as the
// request can go elsewhere. Silence alone ends nothing: an engine that puts a
// request aside for more urgent ones is silent too, and goes on with it later.
type leaving struct {
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

// silent begins to look for another upstream. It may be called from any
// goroutine, and does not wait.
func (l *leaving) silent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.looking || l.ended {
		return
	}
	l.looking = true
	l.looks.Add(1)
	go l.look()
}

// look ends the attempt when the request may be sent once more and another
// upstream could take it now. It stops when the silent one speaks again.
func (l *leaving) look() {
	defer l.looks.Done()
	defer func() { l.mu.Lock(); l.looking = false; l.mu.Unlock() }()
	for heard := l.heard.Load(); l.heard.Load() == heard; {
		if e, _ := l.q.pick(); e != nil && l.q.g.deps.Repeats.Take(l.q.service.Name, l.q.g.deps.Now()) {
			l.cancel(errSilent)
			return
		}
		if !pace.Sleep(l.ctx, elsewhereLook) {
			return
		}
	}
}

// stay keeps the attempt where it is from now on: its answer is about to begin,
// and cannot be gone on with elsewhere. It says no if the attempt has just left.
func (l *leaving) stay() bool {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.heard.Add(1) // ends a look
	l.looks.Wait()
	return l.ctx.Err() == nil
}

// end returns when nothing looks any more: what the look reads changes with the
// next attempt.
func (l *leaving) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.cancel(nil)
	l.looks.Wait()
}
