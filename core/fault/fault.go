// Package fault defines the error type that packages exchange. It carries the
// step at which a request or an operation failed, the peer involved, what is
// known about the request's execution, and when to retry.
package fault

import (
	"errors"
	"fmt"
	"time"

	"peridotpier.example/core/outcome"
)

// Step is the processing step at which an error occurred.
type Step string

// The steps of a request and of the control path.
const (
	StepAuthenticate Step = "authenticate"
	StepParse        Step = "parse"
	StepAdmit        Step = "admit"
	StepClaim        Step = "claim"
	StepRoute        Step = "route"
	StepDispatch     Step = "dispatch"
	StepRelay        Step = "relay"
	StepResume       Step = "resume"
	StepTable        Step = "table"
	StepObject       Step = "object"
	StepHostList     Step = "host_list"
	StepWeights      Step = "weights"
	StepPeer         Step = "peer"
	StepLease        Step = "lease"
	StepOrder        Step = "order"
	StepConfig       Step = "config"
	StepDrain        Step = "drain"
)

// Code is the stable, machine-readable error code that callers and operators see.
type Code string

// The codes. docs/callers.md says what a caller should do on each.
const (
	CodeBadRequest             Code = "bad_request"
	CodeInvalidAPIKey          Code = "invalid_api_key"
	CodeNotFound               Code = "not_found"
	CodeModelNotFound          Code = "model_not_found"
	CodeRequestTooLarge        Code = "request_too_large"
	CodeIdempotencyKeyRequired Code = "idempotency_key_required"
	CodeIdempotencyKeyReused   Code = "idempotency_key_reused"
	CodeInProgress             Code = "in_progress"
	CodeOverloaded             Code = "overloaded"
	CodeTeamLimit              Code = "team_limit"
	CodeDeadlineExceeded       Code = "deadline_exceeded"
	CodeNoUpstream             Code = "no_upstream"
	CodeStoreUnavailable       Code = "store_unavailable"
	CodeUpstreamFailed         Code = "upstream_failed"
	CodeOutcomeUnknown         Code = "outcome_unknown"
	CodeDraining               Code = "draining"
	CodeConflict               Code = "conflict"
	CodeInternal               Code = "internal"
)

// Error is a failure: where it occurred, and what follows for the request.
type Error struct {
	Step       Step
	Peer       string // host:port or name of the other side; "" for a local failure
	Code       Code
	Outcome    outcome.Outcome
	RetryAfter time.Duration // 0: no advice
	Err        error         // cause; may be nil
}

// Error returns step, code, peer and cause on one line.
func (e *Error) Error() string {
	s := string(e.Step) + ": " + string(e.Code)
	if e.Peer != "" {
		s += " at " + e.Peer
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun returns an error that guarantees that the request did not run.
func NotRun(step Step, peer string, code Code, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: outcome.NotRun, Err: fmt.Errorf(format, args...)}
}

// Unknown returns an error after which the request may have run.
func Unknown(step Step, peer string, code Code, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Code: code, Outcome: outcome.Unknown, Err: fmt.Errorf(format, args...)}
}

// WithRetryAfter sets how long to wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// From returns the first *Error in err's chain, or wraps err as an internal error
// with unknown outcome at the given step.
func From(step Step, err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Step: step, Code: CodeInternal, Outcome: outcome.Unknown, Err: err}
}
