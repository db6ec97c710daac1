package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/answer"
	"peridotpier.example/standin/service"
)

func start(t *testing.T) *service.Service {
	t.Helper()
	s, err := service.New(service.Config{Name: "s1"})
	assert.NilError(t, err)
	assert.NilError(t, s.Start())
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, s *service.Service, attempt, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+s.Addr()+"/service/orders/new", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(engineapi.HeaderAttempt, attempt)
	req.Header.Set("Idempotency-Key", "k1")
	return http.DefaultClient.Do(req)
}

func readAttempt(t *testing.T, s *service.Service, attempt string) engineapi.Attempt {
	t.Helper()
	resp, err := http.Get("http://" + s.Addr() + "/engine/v1/attempts/" + attempt)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var a engineapi.Attempt
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// The answer is lost after the call took effect: the caller's host sees a broken
// connection, and only the outcome of the attempt shows that it ran.
func TestLostAnswerIsReportedAsCompleted(t *testing.T) {
	s := start(t)
	s.LoseAnswers(1)
	body := answer.Mark("crew", "i1")
	_, err := post(t, s, "a1", body)
	assert.Assert(t, err != nil)
	a := readAttempt(t, s, "a1")
	assert.Equal(t, a.State, engineapi.AttemptCompleted)
	var ans service.Answer
	assert.NilError(t, json.Unmarshal(a.Body, &ans))
	assert.Equal(t, ans.Invocation, "i1")
	assert.Equal(t, ans.Digest, service.Digest([]byte(body)))
	runs := s.Executions()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].IdempotencyKey, "k1")
}

// The request is lost before it ran; its host asks for the outcome, receives
// "unseen", and the same request arrives afterwards: it must be refused.
func TestUnseenCallNeverRuns(t *testing.T) {
	s := start(t)
	s.LoseRequests(1)
	_, err := post(t, s, "a1", "x")
	assert.Assert(t, err != nil)
	assert.Equal(t, readAttempt(t, s, "a1").State, engineapi.AttemptUnseen)
	resp, err := post(t, s, "a1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(engineapi.HeaderRefused), engineapi.RefusedAttemptClosed)
	assert.Equal(t, len(s.Executions()), 0)
}

// A host was paused between its claim and its request, and the service was
// restarted in the meantime: the service has lost its record that it called the
// attempt unseen, so that only the incarnation named by the attempt shows that it
// must not run.
func TestAttemptForAFormerIncarnationIsRefused(t *testing.T) {
	s := start(t)
	unseen := readAttempt(t, s, "a1")
	assert.Equal(t, unseen.State, engineapi.AttemptUnseen)
	s.Restart()
	http.DefaultClient.CloseIdleConnections() // the restart broke them, which a client may detect late
	req, err := http.NewRequest("POST", "http://"+s.Addr()+"/service/orders/new", strings.NewReader("note"))
	assert.NilError(t, err)
	req.Header.Set(engineapi.HeaderAttempt, "a1")
	req.Header.Set(engineapi.HeaderForIncarnation, unseen.Incarnation)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(engineapi.HeaderRefused), engineapi.RefusedRestarted)
	assert.Equal(t, len(s.Executions()), 0)
	assert.Equal(t, readAttempt(t, s, "a1").State, engineapi.AttemptRefused)
}
