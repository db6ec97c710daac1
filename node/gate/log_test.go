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

	"peridotpier.example/node/event"
)

// logged is a gate with one upstream, and its log.
func logged(t *testing.T, up http.HandlerFunc) (*Gate, *observer.ObservedLogs, string) {
	upstream := httptest.NewServer(up)
	t.Cleanup(upstream.Close)
	g, _ := waiting(&modelless{}, upstream.Listener.Addr().String())
	core, lines := observer.New(zap.DebugLevel)
	g.deps.Log = event.NewLog(zap.New(core))
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	return g, lines, front.Listener.Addr().String()
}

// last waits for the line that ends a request.
func last(t *testing.T, lines *observer.ObservedLogs, e event.Event) map[string]any {
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

// Symptom: an operator searches for the id of a request that a stopping host
// refused, and finds nothing.
// Sequence: the host takes nothing any more; a request comes.
// Cause: the id is read only from requests that are let in.
func TestEveryRefusalNamesItsRequest(t *testing.T) {
	g, lines, address := logged(t, nil)
	g.deps.RejectsNew = func() bool { return true }
	send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n")
	assert.Equal(t, last(t, lines, event.RequestRefused)["why"], "stopping")
}

func TestARequestWithoutARouteIsNamed(t *testing.T) {
	_, lines, address := logged(t, nil)
	send(t, address, "GET / HTTP/1.1\r\nHost: elsewhere\r\n\r\n")
	assert.Equal(t, last(t, lines, event.RequestRefused)["why"], "no_route")
}

// Symptom: a request counts as wrong, and its caller swears that it was not.
// Sequence: its body stops half-way, as its caller's connection breaks.
// Cause: the line does not say how the body ended.
func TestABodyThatEndsEarlySaysHow(t *testing.T) {
	_, lines, address := logged(t, nil)
	c := send(t, address, "POST / HTTP/1.1\r\nHost: example.com\r\nContent-Length: 10\r\n\r\nabc")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	fields := last(t, lines, event.RequestRefused)
	assert.Equal(t, fields["why"], "body_incomplete")
	assert.Equal(t, fields["error"], io.ErrUnexpectedEOF.Error())
	assert.Equal(t, fmt.Sprint(fields["read_bytes"], " of ", fields["length"]), "3 of 10")
}

// Symptom: a request ended as left by its caller, who waited for it.
// Sequence: the connection of a request ends; the gate ends the attempt.
// Cause: the line does not say why the caller counts as gone.
func TestALeftRequestSaysWhy(t *testing.T) {
	reached := make(chan struct{})
	g, lines, address := logged(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	})
	g.deps.DisconnectReason = func(context.Context) string { return "stop" }
	c := send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n")
	<-reached
	assert.NilError(t, c.Close())
	fields := last(t, lines, event.RequestAbandoned)
	assert.Equal(t, fields["why"], "stop")
	assert.Equal(t, fields["ended"], "connection")
	assert.Equal(t, fmt.Sprint(fields["sends"]), "1")
}

func TestAServedRequestSaysHowMuchItsConnectionTook(t *testing.T) {
	_, lines, address := logged(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", wholeMost+5))
	})
	c := send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\nConnection: close\r\n\r\n")
	_, err := io.Copy(io.Discard, c)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(last(t, lines, event.RequestServed)["relayed_bytes"]), fmt.Sprint(wholeMost+5))
}

// Symptom: a request ends as broken at its time, which was far.
// Sequence: the host is about to end; the request's upstream has not answered.
// Cause: the line does not say what ended it.
func TestARequestThatTheStopEndsSaysSo(t *testing.T) {
	reached := make(chan struct{})
	g, lines, address := logged(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	})
	ending, end := context.WithCancel(context.Background())
	g.deps.Stopping = ending
	send(t, address, "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n")
	<-reached
	end()
	fields := last(t, lines, event.RequestInterrupted)
	assert.Equal(t, fields["ended"], "stopping")
	assert.Equal(t, fields["started"], false)
}
