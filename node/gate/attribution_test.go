package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// namedCodec reads what a response says from headers of its own.
type namedCodec struct{ plainCodec }

func (namedCodec) AnsweredAttempt(h http.Header) string { return h.Get("Names") }

func (namedCodec) DecodeResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{AttemptID: h.Get("Names"), Sealed: h.Get("Sealed") != "", NotRun: h.Get("Not-Run") != "", Upstream: h.Get("From"),
		Said: &Statements{Draining: h.Get("Leaving") != "", Load: loadOf(h)}}
}

// loadOf returns the load that a response states.
func loadOf(h http.Header) *fleet.ReportedLoad {
	running, err := strconv.Atoi(h.Get("Running"))
	if err != nil {
		return nil
	}
	return &fleet.ReportedLoad{Running: running, Slots: 4}
}

// acceptEach serves each connection to a listener of its own, then closes it, and returns the
// address.
func acceptEach(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// startScriptedUpstream writes the answers to each request that it reads.
func startScriptedUpstream(t *testing.T, answers ...string) (address string) {
	t.Helper()
	return acceptEach(t, func(c net.Conn) {
		for br := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			for _, a := range answers {
				_, _ = io.WriteString(c, a)
			}
		}
	})
}

func textAnswer(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

const ownAnswer = "Names: a1\r\nSealed: 1\r\n"

// Guards against taking anything from the answer to another request: its status, its promise
// that a request did not run, what it says of the upstream.
func TestNothingIsTakenFromAnotherRequestsAnswer(t *testing.T) {
	own := textAnswer(http.StatusOK, ownAnswer, "own")
	for name, foreign := range map[string]string{
		"whole":               textAnswer(http.StatusOK, "Names: other\r\nSealed: 1\r\nLeaving: 1\r\n", "other"),
		"refusal":             textAnswer(http.StatusServiceUnavailable, "Names: other\r\nNot-Run: 1\r\nLeaving: 1\r\n", "full"),
		"redirected":          textAnswer(http.StatusMisdirectedRequest, "Names: other\r\nNot-Run: 1\r\n", ""),
		"failure":             textAnswer(http.StatusInternalServerError, "Names: other\r\nSealed: 1\r\n", "failed"),
		"in chunks":           "HTTP/1.1 503 X\r\nNames: other\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"two in a row":        textAnswer(http.StatusServiceUnavailable, "Names: other\r\nNot-Run: 1\r\n", "full") + textAnswer(http.StatusOK, "Names: third\r\nSealed: 1\r\n", "third"),
		"unnamed behind that": textAnswer(http.StatusServiceUnavailable, "Names: other\r\nNot-Run: 1\r\n", "full") + textAnswer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full"),
	} {
		t.Run(name, func(t *testing.T) {
			g, f := newGate(&noModelCoordinator{}, startScriptedUpstream(t, foreign, own))
			g.deps.Codec = namedCodec{}
			changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts = deploy.NonIdempotent, 1 })
			w := httptest.NewRecorder()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
			assert.Equal(t, w.Code, http.StatusOK)
			assert.Equal(t, w.Body.String(), "own")
			e, _ := f.Entry("u")
			assert.Assert(t, e.Usable(), "what the other answer says of the upstream is not applied")
			assert.Assert(t, g.deps.Metrics.CountsByUpstream(metrics.AnswersUnproven)["s u"] > 0)
		})
	}
}

// Guards against a promise that nobody made: where the own answer does not follow that to
// another request, the request may have run.
func TestARequestBehindAnotherRequestsAnswerMayHaveRun(t *testing.T) {
	for name, foreign := range map[string]string{
		"ends its connection": "HTTP/1.1 503 X\r\nNames: other\r\nNot-Run: 1\r\n\r\nno length",
		"says that it closes": textAnswer(http.StatusServiceUnavailable, "Names: other\r\nNot-Run: 1\r\nConnection: close\r\n", ""),
		"too large":           textAnswer(http.StatusServiceUnavailable, "Names: other\r\nNot-Run: 1\r\n", string(make([]byte, 100<<10))),
		"cut":                 textAnswer(http.StatusServiceUnavailable, "Names: other\r\nNot-Run: 1\r\n", "full")[:20],
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newGate(&noModelCoordinator{}, startScriptedUpstream(t, foreign))
			g.deps.Codec = namedCodec{}
			changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts, r.Timeout = deploy.NonIdempotent, 1, 3*time.Second })
			w := httptest.NewRecorder()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
			assert.Assert(t, w.Code == http.StatusBadGateway || w.Code == http.StatusGatewayTimeout, "%d", w.Code)
		})
	}
}

// Guards against a request that goes over a connection a second time, on which a late answer
// names it though it is that to its earlier attempt: also after a pause in which any upstream
// may be tried again.
func TestAConnectionCarriesARequestOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	events := "HTTP/1.1 200 X\r\n" + ownAnswer + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := func(n int) string { return fmt.Sprintf("13\r\nid: %d\ndata: piece\n\n\r\n", n) }
	answers := []string{events + event(1), textAnswer(http.StatusServiceUnavailable, ownAnswer+"Not-Run: 1\r\n", "full"), events + event(2) + "0\r\n\r\n"}
	var requests, again atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for n, br := 0, bufio.NewReader(c); ; n++ {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					if n > 0 {
						again.Add(1)
					}
					i := int(requests.Add(1)) - 1
					_, _ = io.WriteString(c, answers[min(i, len(answers)-1)])
					if i == 0 {
						return // breaks off
					}
				}
			}()
		}
	}()
	g, _ := newGate(&noModelCoordinator{}, ln.Addr().String())
	g.deps.Codec = namedCodec{}
	changeRoute(g, func(r *deploy.Route) {
		r.Kind, r.Resumable, r.Attempts, r.Timeout = deploy.Stream, true, 5, 5*time.Second
	})
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
	assert.Equal(t, w.Body.String(), "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n")
	assert.Equal(t, requests.Load(), int32(3))
	assert.Equal(t, again.Load(), int32(0), "the same request over one connection")
}

// Guards against an answer of another process, which got the address of an upstream that has
// ended: it names no request, and says for example that there is no such page.
func TestAnAnswerThatNamesNoRequestIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		g, _ := newGate(&noModelCoordinator{}, startScriptedUpstream(t, textAnswer(status, "Sealed: 1\r\n", "another process")))
		g.deps.Codec = namedCodec{}
		changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts = deploy.NonIdempotent, 1 })
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
		assert.Equal(t, w.Code, http.StatusBadGateway, "%d", status)
		assert.Equal(t, w.Body.String(), "unsealed\n", "%d", status)
	}
}

// Guards against requests that avoid an upstream for the load of another process: one that
// answers at its address and names no request, or itself.
func TestLoadIsTakenFromTheUpstreamsOwnAnswersOnly(t *testing.T) {
	const running = 40
	for name, c := range map[string]struct {
		status  int
		headers string
		taken   bool
	}{
		"its own":                 {200, "Names: a1\r\nSealed: 1\r\n", true},
		"its refusal":             {503, "Not-Run: 1\r\n", true},
		"one that names nothing":  {200, "Sealed: 1\r\n", false},
		"a failure of no request": {500, "", false},
		"another's refusal":       {421, "Not-Run: 1\r\nNames: a1\r\nFrom: other\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, f := newGate(&noModelCoordinator{}, startScriptedUpstream(t, textAnswer(c.status, fmt.Sprintf("%sRunning: %d\r\n", c.headers, running), "x")))
			g.deps.Codec = namedCodec{}
			e, _ := f.Entry("u")
			isTaken := func() bool { return e.Endpoint(&fleet.Request{}, time.Now()).InFlight >= running }
			var ended atomic.Bool
			go func() { sendTo(t, g); ended.Store(true) }()
			for !isTaken() && !ended.Load() { // the load counts for a second, and a refused request may take as long
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, isTaken(), c.taken)
			for !ended.Load() {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
