package engine

import (
	"sync"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/route"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
)

// outcome is the state of an attempt: running, or how it ended.
type outcome uint8

const (
	outcomeRunning outcome = iota // waits or runs
	outcomeCompleted
	outcomeCancelled
	outcomeTerminated // the process ended while it ran
	outcomeRefused
	outcomeBlocked // a host asked for it before its request arrived: it must never run
)

func (o outcome) state() engineapi.AttemptState {
	switch o {
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

// attempt is one request under its attempt id. Events are computed from the answer
// when they are written, so that an attempt stays small and a stream can be
// resumed at any position.
type attempt struct {
	id             string
	key            route.ModelKey
	resident       *resident // what it runs on; users of the resident are counted
	name           string    // of the model or adapter as the caller gave it
	class          class.Class
	answer         answer.Answer
	chat           bool
	stream         bool
	prefix         uint64
	promptTokens   int
	team           string
	invocation     string
	forIncarnation string // incarnation that it is meant for; "": any
	arrived        time.Time

	prefillLeft int // guarded by Engine.mu

	mu           sync.Mutex
	outcome      outcome
	started      time.Time
	produced     int           // tokens of the answer so far
	reader       chan struct{} // signals new events to the only reader; nil: no reader
	abandonTimer *time.Timer   // cancels an attempt that has no reader
	done         chan struct{} // closed when it ends, however it ends; nil: it was never accepted
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

// produce adds one token, or all remaining ones, and reports whether the answer is
// complete.
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

// end records how the attempt ended. It returns false when the attempt had ended
// before.
func (a *attempt) end(o outcome) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome != outcomeRunning {
		return false
	}
	a.outcome = o
	if a.abandonTimer != nil {
		a.abandonTimer.Stop()
	}
	close(a.done)
	return true
}

// attach makes the calling handler the only reader of the attempt. The channel of
// an earlier reader is closed, which ends that reader.
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

// detach removes a reader that has left. When it was the current one, giveUp is
// called after wait unless another reader attaches before.
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

// position returns how many events can be written now: the tokens so far, and the
// end marker once the attempt is complete.
func (a *attempt) position() (events int, o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome == outcomeCompleted {
		return a.answer.Tokens + 1, a.outcome
	}
	return a.produced, a.outcome
}
