package history

import (
	"math"
	"strings"

	"github.com/anishathalye/porcupine"

	"peridotpier.example/core/outcome"
)

// unended is the end of what did not end.
const unended = math.MaxInt64

type kind uint8

const (
	ran       kind = iota // an upstream executed it
	completed             // a caller was told the answer
	notRun                // a caller was told that its invocation did not run
)

type event struct {
	kind kind
	call string
}

// state of the register: empty, or written once.
type state struct {
	written bool
	writer  string // the invocation, if known
	answer  string
	notRun  string // invocations that were told not run, each between separators
}

const separator = "\x00"

// answerOperation is what an invocation's answer claims; unknown and in progress claim
// nothing.
func answerOperation(i *Invocation) (porcupine.Operation, bool) {
	op := porcupine.Operation{Call: i.Start, Return: i.End, Output: i.Answer}
	switch {
	case i.Key == "" || i.Unanswered || i.CallerGone || i.InProgress:
		return op, false
	case i.Outcome == outcome.Completed:
		op.Input = event{completed, i.ID}
	case i.Outcome == outcome.NotRun:
		op.Input = event{notRun, i.ID}
	default:
		return op, false
	}
	return op, true
}

// register is written at most once; after it was written callers may be told
// its answer and no other; an invocation that was told "not run" never writes.
var register = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) { return step(s.(state), in.(event), out.(string)) },
}

func step(s state, e event, answer string) (bool, any) {
	switch e.kind {
	case ran:
		if s.written || (e.call != "" && strings.Contains(s.notRun, separator+e.call+separator)) {
			return false, s
		}
		s.written, s.writer, s.answer = true, e.call, answer
	case completed:
		return s.written && s.answer == answer, s
	case notRun:
		if s.written && s.writer != "" && s.writer == e.call {
			return false, s
		}
		s.notRun += separator + e.call + separator
	}
	return true, s
}
