package history

import (
	"math"
	"strings"

	"github.com/anishathalye/porcupine"

	"peridotpier.example/core/outcome"
)

// unended is the end time of an event that did not end.
const unended = math.MaxInt64

type kind uint8

const (
	ran       kind = iota // an upstream executed it
	completed             // a caller was answered with its result
	notRun                // a caller was answered that its invocation did not run
)

type event struct {
	kind         kind
	invocationID string
}

// state of the register: empty, or written once.
type state struct {
	written bool
	writer  string // invocation that wrote it; "": unknown
	answer  string
	notRun  string // invocations that were answered not run, each between separators
}

const separator = "\x00"

// answerOperation returns what the answer to an invocation asserts. It returns
// false for answers that assert nothing, such as unknown and in progress.
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

// register is the register model: it is written at most once; after it was written
// callers may receive its answer and no other; an invocation that was answered
// "not run" never writes.
var register = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) { return step(s.(state), in.(event), out.(string)) },
}

func step(s state, e event, answer string) (bool, any) {
	switch e.kind {
	case ran:
		if s.written || (e.invocationID != "" && strings.Contains(s.notRun, separator+e.invocationID+separator)) {
			return false, s
		}
		s.written, s.writer, s.answer = true, e.invocationID, answer
	case completed:
		return s.written && s.answer == answer, s
	case notRun:
		if s.written && s.writer != "" && s.writer == e.invocationID {
			return false, s
		}
		s.notRun += separator + e.invocationID + separator
	}
	return true, s
}
