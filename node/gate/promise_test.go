package gate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// promises are the statuses that tell a caller that its request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failedAnswers returns the ways in which an upstream may write an answer with a status.
func failedAnswers(status int) map[string]string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, ownAnswer)
	large := strings.Repeat("x", maxBufferedBytes+10)
	chunk := strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n"
	return map[string]string{
		"small":                    textAnswer(status, ownAnswer, "failed"),
		"empty":                    textAnswer(status, ownAnswer, ""),
		"large":                    textAnswer(status, ownAnswer, large),
		"large in chunks":          head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		"large, trailers":          head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" + chunk + "0\r\nA: 1\r\n\r\n",
		"large, without an end":    head + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"ends with its connection": head + "\r\n" + large,
		"a stream":                 head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		"a stream of one event":    textAnswer(status, ownAnswer+"Content-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n"),
	}
}

// Guards against a status that promises "not run" of a request that has run: its upstream
// did not make the promise, on any way by which its answer reaches the caller.
func TestAPromiseThatNoUpstreamMadeReachesNoCaller(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		for name, answer := range failedAnswers(status) {
			for kind, change := range map[string]func(r *deploy.Route){
				"call":             func(r *deploy.Route) { r.Kind = deploy.NonIdempotent },
				"stream":           func(r *deploy.Route) { r.Kind = deploy.Stream },
				"resumable stream": func(r *deploy.Route) { r.Kind, r.Resumable = deploy.Stream, true },
			} {
				t.Run(fmt.Sprint(status, " ", name, " ", kind), func(t *testing.T) {
					t.Parallel()
					up := startScriptedUpstream(t, answer)
					g, _ := newGate(&noModelCoordinator{}, up)
					g.deps.Codec = namedCodec{}
					changeRoute(g, change)
					for _, body := range []string{"", strings.Repeat("b", 1<<20)} { // with a long body the answer is early
						w := httptest.NewRecorder()
						g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
						assert.Equal(t, w.Code, http.StatusBadGateway)
					}
					entry, helper := newHopGate("127.0.0.1:1", deploy.NonIdempotent, 1), newHopGate(up, deploy.NonIdempotent, 1)
					changeRoute(entry, change)
					changeRoute(helper, change)
					hosts := []string{lendAt(t, http.HandlerFunc(helper.ServeForwarded))}
					through, _ := sendTo(t, withDetour(entry, stubDetour{needed: always, hosts: hosts}))
					assert.Equal(t, through, http.StatusBadGateway)
				})
			}
		}
	}
}

// Guards against the same when another host, such as one of an earlier release, forwards the
// status as an upstream's answer.
func TestAPromiseThatAHostForwardsReachesNoCaller(t *testing.T) {
	t.Parallel()
	for _, status := range promises {
		for name, answer := range failedAnswers(status) {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				t.Parallel()
				marked := strings.Replace(answer, ownAnswer, ownAnswer+"Peridotpier-Hop-Request: a1\r\nPeridotpier-Hop-Outcome: answered\r\nPeridotpier-Hop-Sends: 1\r\n", 1)
				entry := newHopGate("127.0.0.1:1", deploy.NonIdempotent, 1)
				through, _ := sendTo(t, withDetour(entry, stubDetour{needed: always, hosts: []string{startScriptedUpstream(t, marked)}}))
				assert.Equal(t, through, http.StatusBadGateway)
			})
		}
	}
}
