package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/core/route"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/node/upstream/view"
)

// Guards against a status that promises "not run" of a call that may run once and has run:
// its upstream did not make the promise.
func TestAPromiseThatNoUpstreamMadeReachesNoCaller(t *testing.T) {
	bodies := map[string]string{"small": "failed", "large": strings.Repeat("x", 2*maxBufferedAnswer), "events": "data: x\n\n"}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, body := range bodies {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
				if name == "events" {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			}))
			t.Cleanup(up.Close)
			a, sink := newTestAttempt(t, up.Listener.Addr().String(), &Work{Method: http.MethodPost, Path: "/", Stream: name == "events", Deadline: time.Now().Add(time.Minute)})
			checkUnknown(t, sink, a.run(t.Context()))
			checkUnknown(t, sink, a.deliver(engineapi.Attempt{Status: status, Body: []byte(body)}))
			checkUnknown(t, sink, a.out.replay(&nodeclaim.Answer{Status: status, Body: []byte(body)}))
		}
	}
}

// newTestAttempt returns an attempt of w at the upstream at address, and its caller.
func newTestAttempt(t *testing.T, address string, w *Work) (*attempt, *recordingSink) {
	t.Helper()
	c := conn.New(conn.Config{})
	t.Cleanup(c.Close)
	sink := &recordingSink{}
	d := New(Config{}, Deps{Client: c, View: view.New("", time.Now, nil), Log: event.NewLog(nil), Metrics: metrics.New()})
	return newAttempt(d, w, &output{sink: sink}, &route.Endpoint{Upstream: "u", Address: address}), sink
}

// checkUnknown checks that a caller was told nothing, and that its request may have run.
func checkUnknown(t *testing.T, sink *recordingSink, err error) {
	t.Helper()
	assert.Assert(t, err != nil)
	assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.Unknown)
	assert.Equal(t, sink.heads, 0)
}
