package callerapi

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
)

// Guards against addresses of upstreams or of the platform in a caller's log: a
// dial fails, its error is wrapped at each step up to the caller, and its text is
// sent to the caller.
func TestCallersSeeNoAddresses(t *testing.T) {
	dial := &net.OpError{Op: "dial", Net: "tcp", Addr: &net.TCPAddr{IP: net.IPv4(10, 1, 2, 3), Port: 99}, Err: errors.New("refused")}
	inner := fault.NotRun(fault.StepDispatch, "10.1.2.3:99", fault.CodeUpstreamFailed, "connect: %w", dial)
	for _, f := range []*fault.Error{
		inner,
		fault.NotRun(fault.StepResume, "e1", fault.CodeUpstreamFailed, "attempt never ran: %w", inner),
		fault.Unknown(fault.StepRelay, "e1", fault.CodeOutcomeUnknown, "answer broke off: %w", errors.Join(dial, inner)),
		fault.Unknown(fault.StepRelay, "e1", fault.CodeDeadlineExceeded, "answer broke off: %w", dial),
		fault.NotRun(fault.StepRoute, "e1", fault.CodeNoUpstream, "ask for a report: %w", inner),
		fault.NotRun(fault.StepClaim, "", fault.CodeStoreUnavailable, "claim: %w", dial),
		{Step: fault.StepClaim, Code: fault.CodeStoreUnavailable, Outcome: outcome.Completed, Err: dial},
		fault.NotRun(fault.StepParse, callerPeer, fault.CodeBadRequest, "read body: %w", dial),
		fault.NotRun(fault.StepClaim, "", fault.CodeInternal, "%w", dial),
		fault.From(fault.StepDispatch, fmt.Errorf("%w and %w", dial, inner)),
		fault.From(fault.StepDispatch, dial),
	} {
		text := message(f)
		assert.Assert(t, !strings.Contains(text, "10.1.2.3") && text != "", "%s", text)
	}
}

func TestCallersSeeTheErrorsThatThisHostWrote(t *testing.T) {
	for _, f := range []*fault.Error{
		fault.NotRun(fault.StepParse, "", fault.CodeBadRequest, "body is not a JSON request: %w", errors.New("offset 3")),
		fault.NotRun(fault.StepRoute, "", fault.CodeOverloaded, "every upstream of pool lm is busy"),
		fault.Unknown(fault.StepResume, "", fault.CodeNotFound, "this resume token is not valid"),
	} {
		assert.Equal(t, message(f), f.Err.Error())
	}
}
