package gate

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// Guards against an answer whose head is none and that reaches a caller through another host:
// the other host's own answer, or that of its upstream.
func TestAMalformedHeadReachesNoCallerThroughAHost(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 200 X\r\nA B: 1\r\n", "HTTP/1.1 200 X\r\nA : 1\r\n", "HTTP/1.1 200 X\r\nContent-Length : 2\r\n"} {
		answer := head + ownAnswer + "Peridotpier-Hop-Request: a1\r\nPeridotpier-Hop-Outcome: answered\r\nPeridotpier-Hop-Sends: 1\r\nContent-Length: 2\r\n\r\nok"
		up := startScriptedUpstream(t, answer)
		sound := lendAt(t, http.HandlerFunc(newHopGate(up, deploy.NonIdempotent, 1).ServeForwarded))
		for _, host := range []string{up, sound} {
			status, body := sendTo(t, withDetour(newHopGate("127.0.0.1:1", deploy.NonIdempotent, 1), stubDetour{needed: always, hosts: []string{host}}))
			assert.Equal(t, status, http.StatusBadGateway, "%q", head)
			assert.Assert(t, !strings.Contains(body, "ok"))
		}
	}
}
