package local_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
)

// slowEngine is an engine whose streams last long enough for a test to break them.
var slowEngine = engine.Config{TokenTime: 5 * time.Millisecond}

// openStream starts a stream and reads the given number of events. It returns the
// response, the reader for the remainder, and the text read.
func (p *fixture) openStream(ctx context.Context, base, body string, events int) (*http.Response, *bufio.Reader, string) {
	p.t.Helper()
	req, err := http.NewRequestWithContext(ctx, "POST", base+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(p.t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(p.t, err)
	assert.Equal(p.t, resp.StatusCode, http.StatusOK)
	r := bufio.NewReader(resp.Body)
	var text strings.Builder
	for n := 0; n < events; {
		line, err := r.ReadString('\n')
		assert.NilError(p.t, err)
		text.WriteString(line)
		if line == "\n" {
			n++
		}
	}
	return resp, r, text.String()
}

// Symptom: a caller's stream ends early, or repeats or lacks tokens.
// Sequence: the connection to the engine breaks after every few tokens.
// Cause: a broken connection is treated as the end of the stream, or the remainder is
// requested from the wrong position.
func TestABrokenStreamIsResumedByteForByte(t *testing.T) {
	p := newFixture(t, engine.Config{})
	body := fmt.Sprintf(chat, true, 40)
	_, _, unbroken := p.do("POST", "/v1/chat/completions", teamKey, body)
	p.eng.CutStreamsAfter(7)
	status, _, broken := p.do("POST", "/v1/chat/completions", teamKey, body)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, broken, unbroken)
}

// Symptom: a stream hangs for ever although its engine continues.
// Sequence: tokens flow; the connection becomes unresponsive without being closed; new
// connections work.
// Cause: a device between the two ends lost track of the connection.
func TestASilentConnectionIsReplacedInMidStream(t *testing.T) {
	p := newFixture(t, slowEngine)
	body := fmt.Sprintf(chat, true, 60)
	_, _, unbroken := p.do("POST", "/v1/chat/completions", teamKey, body)
	resp, r, begin := p.openStream(t.Context(), p.base, body, 5)
	p.eng.Freeze(false)
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, begin+string(rest), unbroken)
}

// Symptom: a caller gets another caller's answer, or part of it.
// Sequence: the engine repeatedly writes events of another attempt into a stream, while
// several callers are served.
// Cause: an answer is matched to a request by its connection alone.
func TestACrossedAnswerNeverReachesACaller(t *testing.T) {
	p := newFixture(t, slowEngine)
	long, _, _ := p.openStream(t.Context(), p.base, fmt.Sprintf(chat, true, 400), 1)
	defer func() { _ = long.Body.Close() }()
	// Two prompts alternate: a mismatched event comes from the attempt before, whose
	// answer must differ.
	const prompt = `{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"%s"}]}`
	bodies := []string{fmt.Sprintf(prompt, "mine"), fmt.Sprintf(prompt, "theirs")}
	var own []string
	for _, body := range bodies {
		_, _, text := p.do("POST", "/v1/chat/completions", teamKey, body)
		own = append(own, text)
	}
	assert.Assert(t, own[0] != own[1])
	p.eng.MismatchAnswers(0.5)
	for i := range 8 {
		status, _, got := p.do("POST", "/v1/chat/completions", teamKey, bodies[i%2])
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, got, own[i%2])
	}
	assert.Assert(t, p.eng.Records().Mismatched > 0, "no answer was mismatched: the test shows nothing")
}

// Symptom: a stream that lost its engine looks complete.
// Sequence: some tokens are forwarded; then the engine's process restarts.
// Cause: the end of the connection is treated as the end of the stream.
func TestAStreamWhoseEngineDiedEndsWithATypedError(t *testing.T) {
	p := newFixture(t, slowEngine)
	resp, r, _ := p.openStream(t.Context(), p.base, fmt.Sprintf(chat, true, 400), 5)
	defer func() { _ = resp.Body.Close() }()
	p.eng.Restart()
	rest, err := io.ReadAll(r)
	assert.Assert(t, err != nil, "the connection ended cleanly")
	assert.Assert(t, strings.Contains(string(rest), "event: error\n"), string(rest))
	assert.Assert(t, strings.Contains(string(rest), `"outcome":"unknown"`), string(rest))
	assert.Assert(t, !strings.Contains(string(rest), engineapi.StreamEnd), string(rest))
}

// Symptom: a dispatch note is packed twice, or never.
// Sequence: a call that may not be repeated reaches the service, or does not; its answer
// is lost; the caller waits.
// Cause: a call whose answer is lost is treated as not run, or as run.
func TestALostAnswerIsResolvedByTheUpstream(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(p *fixture)
	}{
		{"answer lost", func(p *fixture) { p.svc.LoseAnswers(1) }},
		{"answer cut", func(p *fixture) { p.svc.CutAnswers(1) }},
		{"request lost", func(p *fixture) { p.svc.LoseRequests(1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newFixture(t, engine.Config{})
			c.lose(p)
			status, _, body := p.do("POST", "/v1/services/stock/notes", teamKey, "note", "Idempotency-Key", "k1")
			assert.Equal(t, status, http.StatusOK, body)
			again, h, same := p.do("POST", "/v1/services/stock/notes", teamKey, "note", "Idempotency-Key", "k1")
			assert.Equal(t, again, http.StatusOK, same)
			assert.Equal(t, h.Get("Peridot-Replayed"), "true")
			assert.Equal(t, same, body)
			assert.Equal(t, len(p.svc.Executions()), 1)
		})
	}
}

// Symptom: requests fail while an upstream drains, or are sent to it for a long time.
// Sequence: the only engine starts to drain between two reports.
// Cause: the upstream's refusal is ignored; the platform's list and the reports lag
// behind it.
func TestALeavingUpstreamsRefusalCountsAtOnce(t *testing.T) {
	p := newFixture(t, engine.Config{})
	p.eng.Drain()
	for range 2 {
		status, h, body := p.do("POST", "/v1/chat/completions", teamKey, fmt.Sprintf(chat, false, 5))
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		assert.Assert(t, strings.Contains(body, `"outcome":"not_run"`), body)
		assert.Assert(t, h.Get("Retry-After") != "")
	}
	assert.Equal(t, len(p.eng.Records().Executions), 0)
}

// Symptom: a caller whose entry host died loses its answer.
// Sequence: a stream runs through one host; the caller's connection breaks; the caller
// presents its resume token to another host.
// Cause: the state of a stream is kept on one host only.
func TestAStreamIsResumedThroughAnotherHost(t *testing.T) {
	p := newFixture(t, slowEngine)
	other := p.startNode("n2")
	defer func() { assert.NilError(t, other.Stop()) }()
	body := fmt.Sprintf(chat, true, 60)
	_, _, unbroken := p.do("POST", "/v1/chat/completions", teamKey, body)
	ctx, cancel := context.WithCancel(t.Context())
	resp, _, begin := p.openStream(ctx, p.base, body, 5)
	cancel()
	_ = resp.Body.Close()
	first := p.base
	p.base = "http://" + other.CallerAddress()
	token := resp.Header.Get("Peridot-Resume")
	status, _, rest := p.do("GET", "/v1/requests/"+token+"/stream", teamKey, "", "Last-Event-ID", "5")
	assert.Equal(t, status, http.StatusOK, rest)
	assert.Equal(t, begin+rest, unbroken)
	otherStatus, _, text := p.do("GET", "/v1/requests/"+token+"/stream", otherKey, "")
	assert.Equal(t, otherStatus, http.StatusNotFound, text)
	p.base = first
}

// Symptom: a restart of a host cuts streams or complete answers.
// Sequence: one of each is in progress; the host is asked to stop.
// Cause: closing the listener also ends the connections that it accepted.
func TestAGracefulShutdownCutsNothing(t *testing.T) {
	p := newFixture(t, slowEngine)
	body := fmt.Sprintf(chat, true, 200)
	_, _, unbroken := p.do("POST", "/v1/chat/completions", teamKey, body)
	resp, r, begin := p.openStream(t.Context(), p.base, body, 5)
	completeAnswer := make(chan string, 1)
	go func() {
		_, _, text := p.do("POST", "/v1/chat/completions", teamKey, fmt.Sprintf(chat, false, 60))
		completeAnswer <- text
	}()
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		if len(completeAnswer) > 0 { // the request may complete between two checks on a slow machine
			return poll.Success()
		}
		return p.runningAttempts(2)(l)
	})
	stopped := make(chan error, 1)
	go func() { stopped <- p.node.Stop() }()
	assert.Assert(t, strings.Contains(<-completeAnswer, `"completion_tokens":60`))
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, begin+string(rest), unbroken)
	assert.NilError(t, <-stopped)
}

// Symptom: engines work for callers that are gone.
// Sequence: a caller requests a complete answer and hangs up, or cancels a stream.
// Cause: the attempt at the engine is not cancelled.
func TestWorkThatNobodyWaitsForIsCancelled(t *testing.T) {
	p := newFixture(t, slowEngine)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", p.base+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chat, false, 8000)))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	result := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(req); result <- err }()
	poll.WaitOn(t, p.runningAttempts(1))
	cancel()
	assert.ErrorContains(t, <-result, "canceled")
	poll.WaitOn(t, p.runningAttempts(0))

	resp, _, _ := p.openStream(t.Context(), p.base, fmt.Sprintf(chat, true, 8000), 3)
	status, _, text := p.do("DELETE", "/v1/requests/"+resp.Header.Get("Peridot-Request"), teamKey, "")
	assert.Equal(t, status, http.StatusNoContent, text)
	poll.WaitOn(t, p.runningAttempts(0))
	_ = resp.Body.Close()
	for _, e := range p.eng.Records().Executions {
		assert.Equal(t, e.State, engineapi.AttemptCancelled)
	}
}

// runningAttempts waits until the engine runs n attempts.
func (p *fixture) runningAttempts(n int) poll.Check {
	return func(poll.LogT) poll.Result {
		if got := p.eng.ActualState().Running; got != n {
			return poll.Continue("%d attempts run, not %d", got, n)
		}
		return poll.Success()
	}
}

// Symptom: urgent requests miss their deadline whenever connections become unresponsive.
// Sequence: open connections to the engine become unresponsive; a request with little
// time left is sent on one of them; new connections work.
// Cause: an unresponsive connection is probed only after a time that suits long streams.
func TestASilentConnectionIsFoundWithinTheDeadline(t *testing.T) {
	p := newFixture(t, engine.Config{}, noIdleProbe)
	status, _, body := p.do("POST", "/v1/chat/completions", teamKey, fmt.Sprintf(chat, false, 5))
	assert.Equal(t, status, http.StatusOK, body)
	p.eng.Freeze(false)
	status, _, body = p.do("POST", "/v1/chat/completions", teamKey, fmt.Sprintf(chat, false, 5), "Peridot-Deadline-Ms", "4000")
	assert.Equal(t, status, http.StatusOK, body)
}
