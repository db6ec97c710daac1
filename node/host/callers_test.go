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

	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// testID is the header with a test request's id.
const testID = "Test-Id"

// rig is a callerServer with a handler of the test, and what it logs and counts.
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
	r.callers = newCallerServer(connlimit.New(connlimit.Config{}).Listen(ln, "callers"), h, func() time.Duration { return 0 }, conns, nil)
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

// waitForCounts waits until the counts of connections are as wanted.
func (r *rig) waitForCounts(want connCounts) {
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if n := r.callers.conns.counts(); n != want {
			return poll.Continue("is %+v", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// hasAnsweringConn reports whether a handler has returned whose answer is not written.
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

// waitForMetric waits until the metrics contain a line.
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

// onlyLine returns the fields of the only log line about a connection.
func (r *rig) onlyLine() map[string]any {
	found := r.lines.FilterMessage(event.CallerConnectionClosed.Name).All()
	assert.Equal(r.t, len(found), 1, "%v", found)
	return found[0].ContextMap()
}

func (r *rig) assertNoLine() {
	found := r.lines.FilterMessage(event.CallerConnectionClosed.Name).All()
	assert.Equal(r.t, len(found), 0, "%v", found)
}

// assertFields checks that the wanted fields, which must not depend on time, have
// their values.
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

func TestACallerThatDisconnectsIsCountedOnly(t *testing.T) {
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

// Guards against a caller getting no answer without a log line about it: the process
// ends when part of a request's head was read, before a handler was started.
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

// Guards against a caller getting no answer without a log line that names its request:
// the process ends, and closes the connection, while the request's handler runs.
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

// Guards against a request counting as served whose caller gets no answer: the process
// ends after the handler has returned and before the server has written the answer.
func TestAnAnswerThatIsNotWrittenAtTheEndIsLogged(t *testing.T) {
	near, far := net.Pipe() // the far end is not read, so that the write of the answer blocks
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

// Guards against a refused caller seeing a connection reset instead of the answer,
// without a log line: a request is refused because of its head and its body is not
// read; the process ends while the server waits before it closes the connection, and
// the unread bytes turn the close into a reset.
func TestARefusalWithAnUnreadBodyAtTheEndIsLogged(t *testing.T) {
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
	found := r.lines.FilterMessage(event.CallerConnectionClosed.Name).All()
	assert.Equal(t, len(found), 2)
	assertFields(t, found[0].ContextMap(), map[string]any{"reason": "stop", "phase": "late_read", "read_bytes": 20, "unanswered": false})
	assertFields(t, found[1].ContextMap(), map[string]any{"reason": "stop", "phase": "late_begun", "read_bytes": 40, "unanswered": true, "request": "a"})
}

func TestAByteReadBeforeTheAnswerBelongsToTheNextRequest(t *testing.T) {
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

// oneConn is a listener that accepts one connection.
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

// Guards against a panic of a handler being logged with a stack but without the
// request's id, as the HTTP server logs it.
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
	assert.Equal(t, r.lines.FilterMessage(event.ConnectionError.Name).Len(), 0)
}

func TestAnAbortedRequestIsNoPanic(t *testing.T) {
	r := newRig(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := r.dial()
	r.send(c, get("a"))
	r.waitForMetric("caller_connections_closed_total.aborted 1")
	assert.Equal(t, r.lines.FilterMessage(event.HandlerPanicked.Name).Len(), 0)
}

// Guards against a request ending without an answer because its caller counts as
// disconnected, who is not: a read deadline passes while the server reads ahead, and
// the server treats any error of that read as the caller's disconnect.
func TestTheReasonWhyAConnectionCountsAsClosed(t *testing.T) {
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

// Guards against a connection being closed although its request has arrived, and
// against a refused caller waiting for the end of its connection: both occur if
// callerConn hides the methods SyscallConn and CloseWrite of its socket.
func TestACallerConnForwardsTheMethodsOfItsSocket(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	there, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = there.Close() }()
	nc, err := callerListener{ln, newConnLog(event.NewLog(nil), metrics.New(), func(http.Header) string { return "" }), nil}.Accept()
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, nc.(interface{ CloseWrite() error }).CloseWrite())
	_ = there.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = there.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
