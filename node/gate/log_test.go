package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
)

// newLoggedGate returns a gate with one upstream, its log and its address.
func newLoggedGate(t *testing.T, up http.HandlerFunc) (*Gate, *observer.ObservedLogs, string) {
	upstream := httptest.NewServer(up)
	t.Cleanup(upstream.Close)
	g, _ := newGate(&noModelCoordinator{}, upstream.Listener.Addr().String())
	core, lines := observer.New(zap.DebugLevel)
	g.deps.Log = event.NewLog(zap.New(core))
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	return g, lines, front.Listener.Addr().String()
}

// waitForEvent waits for the event that ends a request and returns its fields.
func waitForEvent(t *testing.T, lines *observer.ObservedLogs, e event.Event) map[string]any {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if lines.FilterMessage(e.Name).Len() == 0 {
			return poll.Continue("no %s in %v", e.Name, lines.All())
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	found := lines.FilterMessage(e.Name).All()
	assert.Equal(t, len(found), 1)
	fields := found[0].ContextMap()
	assert.Equal(t, fields["request"], "a1", "%v", fields)
	return fields
}

func send(t *testing.T, address, text string) net.Conn {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

// Guards against an operator who searches for the id of a request that a stopping
// host refused and finds nothing: the id was read only from admitted requests.
func TestEveryRefusalNamesItsRequest(t *testing.T) {
	g, lines, address := newLoggedGate(t, nil)
	g.deps.RejectsNew = func() bool { return true }
	send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n")
	assert.Equal(t, waitForEvent(t, lines, event.RequestRefused)["why"], "stopping")
}

func TestARefusalWithoutARouteNamesItsRequest(t *testing.T) {
	_, lines, address := newLoggedGate(t, nil)
	send(t, address, "GET / HTTP/1.1\r\nHost: elsewhere\r\n\r\n")
	assert.Equal(t, waitForEvent(t, lines, event.RequestRefused)["why"], "no_route")
}

// Guards against a request that is reported as incomplete without the reason: its
// body stops half-way because its caller's connection breaks, and the log does not
// say how the body ended.
func TestARefusedIncompleteBodyIsLoggedWithItsError(t *testing.T) {
	_, lines, address := newLoggedGate(t, nil)
	c := send(t, address, "POST / HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\nabc")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	fields := waitForEvent(t, lines, event.RequestRefused)
	assert.Equal(t, fields["why"], "body_incomplete")
	assert.Equal(t, fields["error"], io.ErrUnexpectedEOF.Error())
	assert.Equal(t, fmt.Sprint(fields["read_bytes"], " of ", fields["length"]), "3 of 10")
}

// Guards against a request that is logged as left by its caller without the reason:
// its connection ends, and the gate ends the attempt.
func TestADisconnectIsLoggedWithItsReason(t *testing.T) {
	reached := make(chan struct{})
	g, lines, address := newLoggedGate(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	})
	g.deps.DisconnectReason = func(context.Context) string { return "stop" }
	c := send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n")
	<-reached
	assert.NilError(t, c.Close())
	fields := waitForEvent(t, lines, event.RequestAbandoned)
	assert.Equal(t, fields["why"], "stop")
	assert.Equal(t, fields["ended"], "connection")
	assert.Equal(t, fmt.Sprint(fields["sends"]), "1")
}

func TestAServedRequestIsLoggedWithItsForwardedBytes(t *testing.T) {
	_, lines, address := newLoggedGate(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes+5))
	})
	c := send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\nConnection: close\r\n\r\n")
	_, err := io.Copy(io.Discard, c)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(waitForEvent(t, lines, event.RequestServed)["relayed_bytes"]), fmt.Sprint(maxBufferedBytes+5))
}

// Guards against a request that is logged as broken at its deadline, which was far
// away: the host is about to stop before the upstream has responded, and the log does
// not say what ended the request.
func TestARequestEndedByTheStopIsLoggedAsSuch(t *testing.T) {
	reached := make(chan struct{})
	g, lines, address := newLoggedGate(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	})
	stopping, stop := context.WithCancel(context.Background())
	g.deps.StopContext = stopping
	send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n")
	<-reached
	stop()
	fields := waitForEvent(t, lines, event.RequestInterrupted)
	assert.Equal(t, fields["ended"], "stopping")
	assert.Equal(t, fields["started"], false)
}

// Guards against a refusal of which nobody can tell whose it is: two upstreams may be listed at
// one address, and only the connection tells what was sent there before.
func TestARefusalIsLoggedWithItsAddressAndConnection(t *testing.T) {
	upstream := startScriptedUpstream(t, textAnswer(http.StatusMisdirectedRequest, "Names: a1\r\nNot-Run: 1\r\nFrom: other\r\n", ""))
	g, _ := newGate(&noModelCoordinator{}, upstream)
	core, lines := observer.New(zap.DebugLevel)
	g.deps.Log, g.deps.Codec = event.NewLog(zap.New(core)), namedCodec{}
	changeRoute(g, func(r *deploy.Route) { r.Kind = deploy.NonIdempotent })
	sendTo(t, g)
	for _, line := range lines.FilterMessage(event.RequestRefused.Name).All() {
		refusal, ok := line.ContextMap()["refusal"].(map[string]any)
		assert.Assert(t, ok, "%v", line.ContextMap())
		assert.DeepEqual(t, refusal, map[string]any{"address": upstream, "names": "other", "exchange": 1, "idle_ms": int64(0)})
		return
	}
	t.Fatal("no refusal was logged")
}
