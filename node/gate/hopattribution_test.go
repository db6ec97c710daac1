package gate

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// Guards against a host's word on one request that is taken for its word on another, which runs.
func TestAHostsWordOnAnotherRequestIsNotBelieved(t *testing.T) {
	t.Parallel()
	own := textAnswer(http.StatusOK, ownAnswer+"Peridotpier-Hop-Request: a1\r\nPeridotpier-Hop-Outcome: answered\r\nPeridotpier-Hop-Sends: 1\r\n", "own")
	for _, outcome := range []hopResult{hopHostRefused, hopNotRun, hopInvalid, hopUnknown, hopAnswered} {
		other := textAnswer(http.StatusServiceUnavailable, "Peridotpier-Hop-Request: other\r\nPeridotpier-Hop-Outcome: "+string(outcome)+"\r\n", "late\n")
		helper := startScriptedUpstream(t, other, own)
		status, body := sendTo(t, withDetour(newHopGate("127.0.0.1:1", deploy.NonIdempotent, 1), stubDetour{needed: always, hosts: []string{helper}}))
		assert.Equal(t, status, http.StatusOK, "%s: %s", outcome, body)
		assert.Equal(t, body, "own")
	}
}

// Guards against hosts of the release before, whose own words name no request, that cannot help.
func TestAHostThatNamesNoRequestIsBelieved(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {})
	before := startScriptedUpstream(t, textAnswer(http.StatusServiceUnavailable, "Peridotpier-Hop-Outcome: host_refused\r\n", "lend_limit\n"))
	hosts := []string{before, lendAt(t, http.HandlerFunc(newHopGate(up, deploy.NonIdempotent, 1).ServeForwarded))}
	entry := withDetour(newHopGate(up, deploy.NonIdempotent, 1), stubDetour{needed: always, hosts: hosts})
	for range 2 { // the second time over a used connection
		status, body := sendTo(t, entry)
		assert.Equal(t, status, http.StatusOK, body)
	}
}
