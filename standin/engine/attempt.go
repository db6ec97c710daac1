package engine

import (
	"sync"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
)

// outcome is what became of an attempt.
type outcome uint8

const (
	outcomeRunning outcome = iota // waits or runs
	outcomeCompleted
	outcomeCancelled
	outcomeTerminated // the process ended under it
	outcomeRefused
	outcomeBlocked // was asked for before it came: must never run
)

func (f outcome) state() engineapi.AttemptState {
	switch f {
	case outcomeCompleted:
		return engineapi.AttemptCompleted
	case outcomeCancelled, outcomeTerminated:
		return engineapi.AttemptCancelled
	case outcomeRefused:
		return engineapi.AttemptRefused
	case outcomeBlocked:
		return engineapi.AttemptUnseen
	default:
		return engineapi.AttemptRunning
	}
}

// attempt is one request under its attempt id. Events are computed from the
// answer when they are written, so an attempt stays small and any position
// can be resumed from.
type attempt struct {
	id             string
	key            route.ModelKey
	resident       *resident // what it runs on; its users are counted
	name           string    // as the caller called the model
	class          class.Class
	answer         answer.Answer
	chat           bool
	stream         bool
	prefix         uint64
	promptTokens   int // tokens
	team           string
	invocation     string
	forIncarnation string // incarnation that it is meant for; "": any
	arrived        time.Time

	prefillLeft int // under Engine.mu

	mu           sync.Mutex
	outcome      outcome
	started      time.Time
	produced     int           // tokens of the answer so far
	reader       chan struct{} // signals the one reader that there is more; nil: none
	abandonTimer *time.Timer   // cancels an attempt that nobody reads
	done         chan struct{} // closed at the end, whatever the end; nil: was never taken
}

func (a *attempt) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcome != outcomeRunning
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
	a.notifyReader()
	return a.produced >= a.answer.Tokens
}

func (a *attempt) notifyReader() {
	if a.reader == nil {
		return
	}
	select {
	case a.reader <- struct{}{}:
	default:
	}
}

// end settles the fate once.
func (a *attempt) end(f outcome) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome != outcomeRunning {
		return false
	}
	a.outcome = f
	if a.abandonTimer != nil {
		a.abandonTimer.Stop()
	}
	close(a.done)
	return true
}

// attach makes the calling handler the attempt's only reader; an earlier one
// is superseded and ends.
func (a *attempt) attach() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandonTimer != nil {
		a.abandonTimer.Stop()
		a.abandonTimer = nil
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
	if a.outcome == outcomeRunning {
		a.abandonTimer = time.AfterFunc(wait, giveUp)
	}
}

// position is how many events can be written now: the tokens, and the end
// marker once the attempt is complete.
func (a *attempt) position() (events int, f outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome == outcomeCompleted {
		return a.answer.Tokens + 1, a.outcome
	}
	return a.produced, a.outcome
}
