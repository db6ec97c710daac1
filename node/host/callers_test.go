package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// testID is the header that the tests' requests carry their id in.
const testID = "Test-Id"

// rig is a callers' listener with a handler of the test's.
type rig struct {
	t       *testing.T
	ln      net.Listener
	callers *callerServer
	lines   *observer.ObservedLogs
	set     *metrics.Set
}

func newRig(t *testing.T, h http.HandlerFunc) *rig {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return newRigAt(t, ln, h)
}

func newRigAt(t *testing.T, ln net.Listener, h http.HandlerFunc) *rig {
	core, lines := observer.New(zap.DebugLevel)
	r := &rig{t: t, ln: ln, lines: lines, set: metrics.New()}
	conns := newConnLog(event.NewLog(zap.New(core)), r.set, func(h http.Header) string { return h.Get(testID) })
	r.callers = newCallerServer(ln, h, func() time.Duration { return 0 }, conns)
	served := make(chan error, 1)
	go func() { served <- r.callers.serve() }()
	t.Cleanup(func() {
		r.callers.close()
		assert.NilError(t, <-served)
	})
	return r
}

func (r *rig) dial() net.Conn {
	c, err := net.Dial("tcp", r.ln.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (r *rig) send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(r.t, err)
}

func get(id string) string { return "GET / HTTP/1.1\r\nHost: a\r\n" + testID + ": " + id + "\r\n\r\n" }

func (r *rig) answer(c net.Conn) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(r.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(r.t, err)
	return resp
}

// waitForCounts waits for the connections to be as wanted.
func (r *rig) waitForCounts(want connCounts) {
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if n := r.callers.conns.counts(); n != want {
			return poll.Continue("is %+v", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// hasAnsweringConn says whether a handler has returned and its answer is not written.
func (r *rig) hasAnsweringConn() bool {
	r.callers.conns.mu.Lock()
	defer r.callers.conns.mu.Unlock()
	for t := range r.callers.conns.open {
		if t.snapshot().phase == phaseAnswering {
			return true
		}
	}
	return false
}

// waitForMetric waits for a line of the metrics.
func (r *rig) waitForMetric(line string) {
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		var text strings.Builder
		r.set.WriteText(&text)
		if !strings.Contains(text.String(), line+"\n") {
			return poll.Continue("no %q in\n%s", line, text.String())
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// onlyLine returns the fields of the only line about a connection.
func (r *rig) onlyLine() map[string]any {
	found := r.lines.FilterMessage(event.CallerClosed.Name).All()
	assert.Equal(r.t, len(found), 1, "%v", found)
	return found[0].ContextMap()
}

func (r *rig) assertNoLine() {
	found := r.lines.FilterMessage(event.CallerClosed.Name).All()
	assert.Equal(r.t, len(found), 0, "%v", found)
}

// assertFields compares the fields that do not depend on time.
func assertFields(t *testing.T, got map[string]any, want map[string]any) {
	t.Helper()
	for name, v := range want {
		assert.Equal(t, fmt.Sprint(got[name]), fmt.Sprint(v), "%s of %v", name, got)
	}
}

func ok(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func TestIdleConnectionsAreCountedOnly(t *testing.T) {
	r := newRig(t, ok)
	c := r.dial()
	r.send(c, get("a"))
	r.answer(c)
	r.waitForCounts(connCounts{open: 1})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.callers.closeExpired(time.Now())
		if r.callers.conns.counts().open > 0 {
			return poll.Continue("open")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	r.waitForMetric("caller_connections_accepted_total 1")
	r.waitForMetric("caller_connections_closed_total.idle 1")
	r.assertNoLine()
}

func TestTheStopClosesIdleConnections(t *testing.T) {
	r := newRig(t, ok)
	c := r.dial()
	r.send(c, get("a"))
	r.answer(c)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.callers.drainStep()
		if r.callers.conns.counts().open > 0 {
			return poll.Continue("open")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	r.waitForMetric("caller_connections_closed_total.stop 1")
	r.assertNoLine()
}

func TestALastAnswerIsCountedOnly(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	c := r.dial()
	r.send(c, get("a"))
	r.answer(c)
	r.waitForMetric("caller_connections_closed_total.last 1")
	r.assertNoLine()
}

func TestACallerThatGoesIsCountedOnly(t *testing.T) {
	r := newRig(t, func(_ http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	})
	c := r.dial()
	r.send(c, get("a"))
	r.waitForCounts(connCounts{open: 1, underWay: 1, unanswered: 1})
	assert.NilError(t, c.Close())
	r.waitForMetric("caller_connections_closed_total.caller 1")
	r.waitForMetric("caller_connections_closed_unanswered_total.caller 1")
	r.assertNoLine()
}

// Symptom: a caller gets no answer, and the host's log has nothing of it.
// Sequence: part of a head is read; the process ends.
// Cause: whatever has no handler is closed without a line.
func TestAHalfReadRequestAtTheEndIsLogged(t *testing.T) {
	r := newRig(t, ok)
	fresh := r.dial()
	c := r.dial()
	r.send(c, "GET / HT")
	r.waitForCounts(connCounts{open: 2, underWay: 1, new: 1})
	r.callers.close()
	r.waitForCounts(connCounts{})
	assertFields(t, r.onlyLine(), map[string]any{"reason": "end", "phase": "reading", "read_bytes": 8, "unanswered": false, "requests": 0, "request": nil,
		"caller": c.LocalAddr()})
	r.waitForMetric("caller_connections_closed_total.end 2")
	assert.NilError(t, fresh.Close())
}

// Symptom: a caller gets no answer, and no line names its request.
// Sequence: the process ends while the request's handler runs.
// Cause: the close of its connection is not logged.
func TestARequestCutAtTheEndIsLogged(t *testing.T) {
	end := make(chan struct{})
	r := newRig(t, func(http.ResponseWriter, *http.Request) { <-end })
	defer close(end)
	c := r.dial()
	r.send(c, get("a"))
	r.waitForCounts(connCounts{open: 1, underWay: 1, unanswered: 1})
	r.callers.close()
	assertFields(t, r.onlyLine(), map[string]any{"reason": "end", "phase": "handling", "unanswered": true, "requests": 1, "answers": 0, "request": "a",
		"written_bytes": 0, "read_bytes": len(get("a"))})
	r.waitForMetric("caller_connections_closed_unanswered_total.end 1")
}

// Symptom: a caller gets no answer, and the request counts as served.
// Sequence: its handler returns; the process ends before the server has
// written the answer.
// Cause: what a handler returned is not yet with the caller.
func TestAnAnswerThatIsNotWrittenAtTheEndIsLogged(t *testing.T) {
	near, far := net.Pipe() // nobody reads at the far end, so that the answer waits to be written
	go func() { _, _ = io.WriteString(far, get("a")) }()
	r := newRigAt(t, &oneConn{conn: near, done: make(chan struct{})}, ok)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.hasAnsweringConn() {
			return poll.Continue("not answered yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	r.waitForCounts(connCounts{open: 1, underWay: 1, unanswered: 1})
	r.callers.close()
	assertFields(t, r.onlyLine(), map[string]any{"reason": "end", "phase": "answering", "unanswered": true, "written_bytes": 0, "request": "a"})
}

// Symptom: a refused caller sees its connection reset instead of the answer.
// Sequence: a request is refused at its head; its body is not read; the
// process ends while the server waits before it closes the connection.
// Cause: bytes that nobody read make the close a reset.
func TestARefusalBesideABodyAtTheEndIsLogged(t *testing.T) {
	r := newRig(t, ok)
	track := r.callers.conns.track("a")
	track.didRead(4096, 100, nil)
	track.begin(http.Header{testID: {"a"}})
	track.end(true)
	track.willWrite()
	track.didWrite(150, nil)
	r.callers.conns.processEnding.Store(true)
	s, _ := track.close()
	r.callers.conns.recordClosed(track, s)
	assertFields(t, r.onlyLine(), map[string]any{"reason": "end", "phase": "answering", "unanswered": false, "read_bytes": 100, "written_bytes": 150, "request": "a"})
}

func TestAnAbortedRequestIsLogged(t *testing.T) {
	r := newRig(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := r.dial()
	r.send(c, get("a"))
	r.waitForMetric("caller_connections_closed_unanswered_total.aborted 1")
	assertFields(t, r.onlyLine(), map[string]any{"reason": "aborted", "phase": "answering", "unanswered": true, "request": "a"})
}

func TestBytesOfAClosedConnectionAreLogged(t *testing.T) {
	r := newRig(t, ok)
	track := r.callers.conns.track("a")
	track.setCloseCause(closedStop)
	s, first := track.close()
	assert.Assert(t, first)
	r.callers.conns.recordClosed(track, s)
	r.assertNoLine()
	track.didRead(4096, 20, nil)
	track.didRead(4096, 20, nil)
	track.begin(http.Header{testID: {"a"}})
	found := r.lines.FilterMessage(event.CallerClosed.Name).All()
	assert.Equal(t, len(found), 2)
	assertFields(t, found[0].ContextMap(), map[string]any{"reason": "stop", "phase": "late_read", "read_bytes": 20, "unanswered": false})
	assertFields(t, found[1].ContextMap(), map[string]any{"reason": "stop", "phase": "late_begun", "read_bytes": 40, "unanswered": true, "request": "a"})
}

func TestAByteBeforeTheAnswerIsOfTheNextRequest(t *testing.T) {
	r := newRig(t, ok)
	track := r.callers.conns.track("a")
	track.didRead(4096, 100, nil)
	track.begin(http.Header{testID: {"a"}})
	track.didRead(aheadReadSize, 1, nil)
	track.end(true)
	track.idle()
	track.setCloseCause(closedIdle)
	s, _ := track.close()
	r.callers.conns.recordClosed(track, s)
	assertFields(t, r.onlyLine(), map[string]any{"reason": "idle", "phase": "reading", "read_bytes": 1, "unanswered": false, "request": nil, "answers": 1})
}

func TestLinesOfConnectionsAreBounded(t *testing.T) {
	l := newConnLog(event.NewLog(nil), metrics.New(), nil)
	for range maxConnLinesPerSecond {
		assert.Assert(t, l.allowLine(7))
	}
	assert.Assert(t, !l.allowLine(7))
	assert.Assert(t, l.allowLine(8))
}

// oneConn is a listener that has one connection.
type oneConn struct {
	conn net.Conn
	done chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// Symptom: a caller gets no answer; the log has a stack, and no request's id.
// Sequence: the handler of a request panics.
// Cause: only the HTTP server's complaint tells, which knows of no requests.
func TestAPanicIsLoggedWithItsRequest(t *testing.T) {
	r := newRig(t, func(_ http.ResponseWriter, q *http.Request) { panic("secret of " + q.Header.Get(testID)) })
	c := r.dial()
	r.send(c, get("a"))
	_, err := io.ReadAll(c)
	assert.NilError(t, err, "the connection ends without an answer")
	r.waitForMetric("caller_connections_closed_unanswered_total.aborted 1")
	found := r.lines.FilterMessage(event.HandlerPanicked.Name).All()
	assert.Equal(t, len(found), 1)
	fields := found[0].ContextMap()
	assert.Equal(t, fields["request"], "a")
	assert.Equal(t, fields["value"], "string")
	assert.Assert(t, strings.Contains(fmt.Sprint(fields["stack"]), "TestAPanicIsLoggedWithItsRequest"))
	assert.Equal(t, r.lines.FilterMessage(event.ConnectionComplaint.Name).Len(), 0)
}

func TestAnAbortedRequestIsNoPanic(t *testing.T) {
	r := newRig(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := r.dial()
	r.send(c, get("a"))
	r.waitForMetric("caller_connections_closed_total.aborted 1")
	assert.Equal(t, r.lines.FilterMessage(event.HandlerPanicked.Name).Len(), 0)
}

// Symptom: a request ends without an answer, as if its caller had left, who has not.
// Sequence: a bound is set for reads; it passes while the server reads ahead.
// Cause: the server takes any error of that read for the caller's end.
func TestWhyAConnectionCountsAsEnded(t *testing.T) {
	for want, h := range map[string]http.HandlerFunc{
		"read_bound": func(w http.ResponseWriter, q *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Millisecond))
			<-q.Context().Done()
		},
		"caller": func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() },
		"end":    func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() },
		"stuck": func(w http.ResponseWriter, q *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Millisecond))
			for q.Context().Err() == nil {
				_, _ = w.Write(make([]byte, 1<<20))
			}
		},
		"": func(http.ResponseWriter, *http.Request) {},
	} {
		t.Run(want, func(t *testing.T) {
			got := make(chan string, 1)
			r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
				h(w, q)
				got <- disconnectReason(q.Context())
			})
			c := r.dial()
			r.send(c, get("a"))
			switch want {
			case "caller":
				assert.NilError(t, c.Close())
			case "end":
				r.waitForCounts(connCounts{open: 1, underWay: 1, unanswered: 1})
				r.callers.close()
			}
			assert.Equal(t, <-got, want)
		})
	}
}

// Symptom: a connection is closed though its request had arrived; a refused caller
// waits for the end of its connection.
// Sequence: the connection's account lies between the socket and who asks it.
// Cause: what the socket can do is not passed on.
func TestAnAccountedConnectionDoesWhatItsSocketDoes(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	there, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = there.Close() }()
	nc, err := callerListener{ln, newConnLog(event.NewLog(nil), metrics.New(), func(http.Header) string { return "" })}.Accept()
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, nc.(interface{ CloseWrite() error }).CloseWrite())
	_ = there.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = there.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
