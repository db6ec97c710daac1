package engine

import (
	"sync"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
)

// fate is what became of an attempt.
type fate uint8

const (
	fateRunning fate = iota // waits or runs
	fateCompleted
	fateCancelled
	fateDied // the process ended under it
	fateRefused
	fatePoisoned // was asked for before it came: must never run
)

func (f fate) state() engineapi.AttemptState {
	switch f {
	case fateCompleted:
		return engineapi.AttemptCompleted
	case fateCancelled, fateDied:
		return engineapi.AttemptCancelled
	case fateRefused:
		return engineapi.AttemptRefused
	case fatePoisoned:
		return engineapi.AttemptUnseen
	default:
		return engineapi.AttemptRunning
	}
}

// attempt is one request under its attempt id. Events are computed from the
// answer when they are written, so an attempt stays small and any position
// can be resumed from.
type attempt struct {
	id      string
	key     route.ModelKey
	on      *resident // what it runs on; its users are counted
	name    string    // as the caller called the model
	class   class.Class
	answer  answer.Answer
	chat    bool
	stream  bool
	prefix  uint64
	prompt  int // tokens
	team    string
	mark    string
	process string // incarnation that it is meant for; "": any
	arrived time.Time

	prefillLeft int // under Engine.mu

	mu       sync.Mutex
	fate     fate
	started  time.Time
	produced int           // tokens of the answer so far
	reader   chan struct{} // signals the one reader that there is more; nil: none
	orphan   *time.Timer   // cancels an attempt that nobody reads
	done     chan struct{} // closed at the end, whatever the end; nil: was never taken
}

func (a *attempt) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fate != fateRunning
}

func (a *attempt) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = time.Now()
}

// produce adds a token, or all of them at once, and tells whether that was the last.
func (a *attempt) produce(all bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.produced++
	if all {
		a.produced = a.answer.Tokens
	}
	a.signal()
	return a.produced >= a.answer.Tokens
}

func (a *attempt) signal() {
	if a.reader == nil {
		return
	}
	select {
	case a.reader <- struct{}{}:
	default:
	}
}

// end settles the fate once.
func (a *attempt) end(f fate) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fate != fateRunning {
		return false
	}
	a.fate = f
	if a.orphan != nil {
		a.orphan.Stop()
	}
	close(a.done)
	return true
}

// attach makes the calling handler the attempt's only reader; an earlier one
// is superseded and ends.
func (a *attempt) attach() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.orphan != nil {
		a.orphan.Stop()
		a.orphan = nil
	}
	old := a.reader
	a.reader = make(chan struct{}, 1)
	if old != nil {
		close(old)
	}
	return a.reader
}

// detach tells that a reader is gone; when it was the last, giveUp is called
// unless another attaches in time.
func (a *attempt) detach(reader chan struct{}, wait time.Duration, giveUp func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reader != reader {
		return
	}
	a.reader = nil
	if a.fate == fateRunning {
		a.orphan = time.AfterFunc(wait, giveUp)
	}
}

// position is how many events can be written now: the tokens, and the end
// marker once the attempt is complete.
func (a *attempt) position() (events int, f fate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fate == fateCompleted {
		return a.answer.Tokens + 1, a.fate
	}
	return a.produced, a.fate
}
