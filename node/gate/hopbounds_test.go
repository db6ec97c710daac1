package gate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// Guards against a request that waits for the reason of a host that has refused it.
func TestTheReasonOfAHostIsNotAwaited(t *testing.T) {
	t.Parallel()
	const (
		stays  = 2 * time.Second // how long the refusing host keeps its answer open
		atOnce = 500 * time.Millisecond
	)
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	refusing := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hopOutcome, string(hopHostRefused))
		w.Header().Set("Content-Length", "6")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(stays)
	}))
	helper := lendAt(t, http.HandlerFunc(newHopGate(up, deploy.NonIdempotent, 1).ServeForwarded))
	began := time.Now()
	status, body := sendTo(t, withDetour(newHopGate(up, deploy.NonIdempotent, 1), stubDetour{needed: always, hosts: []string{refusing, helper}}))
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, time.Since(began) < atOnce, "%v", time.Since(began))
}
