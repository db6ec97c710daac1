package local_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/core/fault"
	"peridotpier.example/node/callerapi"
	"peridotpier.example/standin/local"
	fake "peridotpier.example/standin/platform"
)

const notesPath = "/v1/services/stock/notes"

// noRetryClient sends each call exactly once. With kept connections net/http would by
// itself send a call with an idempotency key again when its connection is broken.
var noRetryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// reply is the result of a call as its caller sees it.
type reply struct {
	status        int
	body          string
	code          string // code of an error answer
	outcome       string // outcome of an error answer
	replayed      bool
	hasRetryAfter bool  // the answer has a Retry-After header
	err           error // set if no complete answer arrived
}

// noteVia sends a call that may not be repeated through a node; header holds further
// header names and values in turn.
func noteVia(ctx context.Context, n *local.Node, key string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.CallerAddress()+notesPath, strings.NewReader("note "+key))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Idempotency-Key", key)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := noRetryClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(data), err: err, replayed: resp.Header.Get("Peridot-Replayed") != "",
		hasRetryAfter: resp.Header.Get("Retry-After") != ""}
	if r.status != http.StatusOK && err == nil {
		var p callerapi.Problem
		if err := json.Unmarshal(data, &p); err != nil {
			return reply{err: err}
		}
		r.code, r.outcome = p.Error.Code, p.Error.Outcome
	}
	return r
}

// awaitOutcome repeats a call while the answer is that the call is in progress, and
// returns the first other answer.
func awaitOutcome(t *testing.T, n *local.Node, key string) reply {
	t.Helper()
	var r reply
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r = noteVia(t.Context(), n, key)
		if r.code == string(fault.CodeInProgress) {
			assert.Assert(t, r.hasRetryAfter && r.outcome == "unknown", "%+v", r)
			return poll.Continue("in progress")
		}
		return poll.Success()
	}, poll.WithTimeout(stepTimeout))
	assert.NilError(t, r.err)
	return r
}

// shortClaimGrace makes other hosts resolve a claim soon after its deadline.
func shortClaimGrace(c *local.NodeConfig) { c.ClaimGrace = 20 * time.Millisecond }

// Symptom: a dispatch note is packed twice after an upstream's restart.
// Sequence: a claim names an attempt and the upstream's incarnation; the host is paused
// before the first byte; the upstream restarts and so forgets what it answered about the
// attempt; the host continues and sends.
// Cause: the new process accepts an attempt that was meant for the former one.
func TestARestartedUpstreamRefusesWhatWasMeantForItsFormerProcess(t *testing.T) {
	p, trap := newTrappedFixture(t)
	trap.set(p.svc.Restart, nil)
	r := noteVia(t.Context(), p.node, "k1")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	ran := p.svc.Executions()
	assert.Equal(t, len(ran), 1)
	assert.Equal(t, ran[0].ForIncarnation, ran[0].Incarnation, "the claim names another process than the one that ran it")
}

// Symptom: a note is packed twice, or its key is blocked for ever, after the death of an
// entry host.
// Sequence: the host dies after it wrote its claim, before or after it sends the attempt;
// the caller repeats the call through another host.
// Cause: the other host infers the attempt's outcome from the claim's row instead of
// asking the upstream.
func TestTheDeathOfAHostSettlesByTheUpstreamsWord(t *testing.T) {
	for _, c := range []struct {
		name     string
		trap     func(d *trapDialer, kill func())
		replayed bool
	}{
		{"between claim and dispatch", func(d *trapDialer, kill func()) { d.set(kill, nil) }, false},
		{"between dispatch and answer", func(d *trapDialer, kill func()) { d.set(nil, kill) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, trap := newTrappedFixture(t, shortClaimGrace)
			other := p.startNode("n2")
			defer func() { assert.NilError(t, other.Stop()) }()
			c.trap(trap, func() { p.node.Kill() })
			first := noteVia(t.Context(), p.node, "k1", callerapi.HeaderDeadline, "300")
			assert.Assert(t, first.err != nil, "the dead host answered: %+v", first)
			r := awaitOutcome(t, other, "k1")
			assert.Equal(t, r.status, http.StatusOK, r.body)
			assert.Equal(t, r.replayed, c.replayed)
			assert.Equal(t, len(p.svc.Executions()), 1)
		})
	}
}

// Symptom: a note is packed twice when a host and the service die together.
// Sequence: the service runs the call; before its answer is read the host dies; the
// service restarts and forgets all attempts.
// Cause: "unseen" from a new process that lost all records is treated as "did not run".
func TestTwoDeathsAtOnceLeaveTheOutcomeUnknown(t *testing.T) {
	p, trap := newTrappedFixture(t, shortClaimGrace)
	other := p.startNode("n2")
	defer func() { assert.NilError(t, other.Stop()) }()
	trap.set(nil, func() {
		p.restartAfterTheCall()
		p.node.Kill()
	})
	first := noteVia(t.Context(), p.node, "k1", callerapi.HeaderDeadline, "300")
	assert.Assert(t, first.err != nil, "%+v", first)
	for range 2 {
		r := awaitOutcome(t, other, "k1")
		assert.Equal(t, r.outcome, "unknown", r.body)
		assert.Equal(t, r.code, string(fault.CodeOutcomeUnknown))
	}
	assert.Equal(t, len(p.svc.Executions()), 1)
}

// Symptom: a customer's log shows the addresses of upstreams.
// Sequence: a caller sends a request while no upstream is reachable.
// Cause: the answer contains the error of the dial.
func TestAnErrorNamesTheStepAndNoAddress(t *testing.T) {
	p := newFixture(t, slowEngine)
	p.svc.Close()
	for _, key := range []string{"k1", "k2"} {
		r := noteVia(t.Context(), p.node, key)
		assert.Equal(t, r.outcome, "not_run", r.body)
		assert.Assert(t, strings.Contains(r.body, `"step":"`) && !strings.Contains(r.body, "127.0.0.1"), r.body)
	}
}

// restartAfterTheCall waits until the service's only call has ended and restarts the
// service.
func (p *fixture) restartAfterTheCall() {
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if e := p.svc.Executions(); len(e) == 0 || e[0].Ended.IsZero() {
			return poll.Continue("the call has not ended")
		}
		return poll.Success()
	})
	p.svc.Restart()
}

// Symptom: a note is packed twice after a restart of the service.
// Sequence: the call runs, its answer is lost, and the service restarts; the host asks
// the new process for the attempt's outcome and receives "unseen"; the caller repeats
// the call.
// Cause: the new process's answer is trusted, or a key with an unknown outcome is
// released.
func TestARestartBeforeTheAnswerLeavesTheOutcomeUnknown(t *testing.T) {
	p, trap := newTrappedFixture(t)
	p.svc.LoseAnswers(1)
	trap.set(nil, p.restartAfterTheCall)
	for range 2 {
		r := noteVia(t.Context(), p.node, "k1")
		assert.Equal(t, r.outcome, "unknown", r.body)
		assert.Equal(t, r.code, string(fault.CodeOutcomeUnknown))
	}
	assert.Equal(t, len(p.svc.Executions()), 1)
}

// Symptom: callers wait while the table is down, or are told that a call ran or may have
// run although it never left the host.
// Sequence: the table service is down; a call that may not be repeated arrives.
// Cause: the call is dispatched, or waits, without its claim.
func TestATableThatIsDownRefusesBeforeTheClaim(t *testing.T) {
	p := newFixture(t, slowEngine)
	p.tbl.Faults.Update(func(s *fake.Settings) { s.Outage = true })
	r := noteVia(t.Context(), p.node, "k1")
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Equal(t, r.code, string(fault.CodeStoreUnavailable))
	assert.Equal(t, r.outcome, "not_run")
	assert.Assert(t, r.hasRetryAfter)
	status, _, body := p.do("GET", "/v1/services/stock/q", teamKey, "")
	assert.Equal(t, status, http.StatusOK, "a call that may be repeated needs no claim: %s", body)
	p.tbl.Faults.Update(func(s *fake.Settings) { s.Outage = false })
	assert.Equal(t, noteVia(t.Context(), p.node, "k1").status, http.StatusOK)
	assert.Equal(t, len(p.svc.Executions()), 2)
}

// Symptom: a caller loses an answer that the service gave, or a repeat runs.
// Sequence: the call runs; before its answer is read the table goes down, and later
// loses some of its own answers; then it recovers.
// Cause: the caller's answer waits until the claim's end is written, or that end is
// dropped.
func TestATableThatIsDownAfterTheAnswerIsReconciledLater(t *testing.T) {
	p, trap := newTrappedFixture(t)
	other := p.startNode("n2")
	defer func() { assert.NilError(t, other.Stop()) }()
	trap.set(nil, func() { p.tbl.Faults.Update(func(s *fake.Settings) { s.Outage = true }) })
	r := noteVia(t.Context(), p.node, "k1")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	poll.WaitOn(t, p.pendingOutcomes(1))
	p.tbl.Faults.Update(func(s *fake.Settings) { s.Outage, s.LostAnswers = false, 0.5 })
	poll.WaitOn(t, p.pendingOutcomes(0), poll.WithTimeout(stepTimeout))
	p.tbl.Faults.Update(func(s *fake.Settings) { s.LostAnswers = 0 })
	again := noteVia(t.Context(), other, "k1")
	assert.Assert(t, again.replayed, "%+v", again)
	assert.Equal(t, again.body, r.body)
	assert.Equal(t, len(p.svc.Executions()), 1)
}

// pendingOutcomes waits until n ends of claims are still to be written by the first node.
func (p *fixture) pendingOutcomes(n int) poll.Check {
	return func(poll.LogT) poll.Result {
		if got := p.node.Status().UnresolvedClaims; got != n {
			return poll.Continue("%d ends of claims are pending, not %d", got, n)
		}
		return poll.Success()
	}
}

// heldCall is a call that is held between its dispatch and its answer; release lets the
// answer through, which reply then receives.
type heldCall struct {
	reply   chan reply
	release func()
}

// holdCall sends a call through the first node, holds its answer and returns once the
// call is dispatched.
func (p *fixture) holdCall(ctx context.Context, trap *trapDialer, key string) heldCall {
	p.t.Helper()
	dispatched, released := make(chan struct{}), make(chan struct{})
	trap.set(nil, func() { close(dispatched); <-released })
	h := heldCall{reply: make(chan reply, 1), release: func() { close(released) }}
	go func() { h.reply <- noteVia(ctx, p.node, key) }()
	<-dispatched
	return h
}

// noIdleProbe sets the time after which nodes probe an idle exchange to a minute.
func noIdleProbe(c *local.NodeConfig) { c.Settings.Bounds.SilenceMs = 60_000 }

// Symptom: two crews press "send" again and a note is packed twice.
// Sequence: while a call runs, the caller repeats it through another entry host.
// Cause: a host knows only its own calls.
func TestARepeatThroughAnotherHostIsRefusedWhileTheFirstRuns(t *testing.T) {
	p, trap := newTrappedFixture(t, noIdleProbe)
	other := p.startNode("n2")
	defer func() { assert.NilError(t, other.Stop()) }()
	first := p.holdCall(t.Context(), trap, "k1")
	again := noteVia(t.Context(), other, "k1")
	assert.Equal(t, again.status, http.StatusConflict, again.body)
	assert.Equal(t, again.code, string(fault.CodeInProgress))
	assert.Assert(t, again.hasRetryAfter)
	first.release()
	r := <-first.reply
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Equal(t, awaitOutcome(t, other, "k1").body, r.body)
	assert.Equal(t, len(p.svc.Executions()), 1)
}

// Symptom: a caller whose connection broke never learns the outcome of its call.
// Sequence: the call is dispatched; the caller's connection breaks; the caller repeats
// the call through another host.
// Cause: the call is cancelled when its caller disconnects.
func TestACallerThatLostItsConnectionGetsTheAnswerLater(t *testing.T) {
	p, trap := newTrappedFixture(t, noIdleProbe)
	other := p.startNode("n2")
	defer func() { assert.NilError(t, other.Stop()) }()
	ctx, hangUp := context.WithCancel(t.Context())
	first := p.holdCall(ctx, trap, "k1")
	hangUp()
	assert.Assert(t, (<-first.reply).err != nil)
	first.release()
	r := awaitOutcome(t, other, "k1")
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Assert(t, r.replayed)
	assert.Equal(t, len(p.svc.Executions()), 1)
}

// Symptom: a restart of a host cuts calls, or leaves their keys blocked.
// Sequence: a call and its claim are open; the table goes down; the host is asked to
// stop; the balancer still sends requests; the call ends; the table recovers.
// Cause: the host exits before the last answer is sent, or before the last claim's end is
// written.
func TestAGracefulShutdownInATableOutageSettlesItsClaims(t *testing.T) {
	p, trap := newTrappedFixture(t, noIdleProbe, func(c *local.NodeConfig) {
		if c.Settings.Host == "n1" {
			c.Settings.Bounds.BalancerWaitSeconds = 1
		}
	})
	other := p.startNode("n2")
	defer func() { assert.NilError(t, other.Stop()) }()
	first := p.holdCall(t.Context(), trap, "k1")
	p.tbl.Faults.Update(func(s *fake.Settings) { s.Outage = true })
	stopped := make(chan error, 1)
	go func() { stopped <- p.node.Stop() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.node.Ready() {
			return poll.Continue("the host has not noticed that it is to stop")
		}
		return poll.Success()
	})
	status, _, body := p.do("GET", "/v1/services/stock/q", teamKey, "")
	assert.Equal(t, status, http.StatusOK, "the balancer still sends: %s", body)
	refused := noteVia(t.Context(), p.node, "k2")
	assert.Equal(t, refused.outcome, "not_run", refused.body)
	first.release()
	r := <-first.reply
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	poll.WaitOn(t, p.pendingOutcomes(1))
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the last listener closes when only ends of claims are pending
		c, err := net.Dial("tcp", p.node.OperatorAddress())
		if err == nil {
			_ = c.Close()
			return poll.Continue("the host still listens")
		}
		return poll.Success()
	}, poll.WithTimeout(stepTimeout))
	p.tbl.Faults.Update(func(s *fake.Settings) { s.Outage = false })
	assert.NilError(t, <-stopped)
	again := noteVia(t.Context(), other, "k1")
	assert.Assert(t, again.replayed, "the claim was left open: %+v", again)
	assert.Equal(t, again.body, r.body)
}

// Symptom: calls fail while an instance of a service drains.
// Sequence: the instance drains; the platform's list and its reports still show it live;
// calls that may not be repeated continue to arrive.
// Cause: the refusal of one attempt ends the call.
func TestCallsGoElsewhereWhenAnInstanceLeaves(t *testing.T) {
	p := newFixtureWith(t, &fixture{answerBytes: 1 << 20, serviceCount: 2}, slowEngine)
	p.svc.Drain()
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
		r := noteVia(t.Context(), p.node, key)
		assert.Equal(t, r.status, http.StatusOK, r.body)
	}
	assert.Equal(t, len(p.svc.Executions()), 0)
	assert.Equal(t, len(p.services[1].Executions()), 6)
}

// Symptom: a repeat of a call gets an empty answer as if it were complete.
// Sequence: the answer was larger than the bound for kept answers; the call is repeated.
// Cause: the claim does not record that the answer's body was dropped.
func TestARepeatIsToldThatTheAnswerWasNotKept(t *testing.T) {
	p := newFixtureWith(t, &fixture{answerBytes: 10, serviceCount: 1}, slowEngine)
	first := noteVia(t.Context(), p.node, "k1")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	again := noteVia(t.Context(), p.node, "k1")
	assert.Equal(t, again.status, http.StatusConflict, again.body)
	assert.Equal(t, again.outcome, "completed")
	assert.Equal(t, len(p.svc.Executions()), 1)
}
