package conn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/conn"
)

// pipes is a dialer of in-memory connections to a server function.
type pipes struct {
	serve func(c net.Conn)
	mu    sync.Mutex
	dials int
	open  int
}

type counted struct {
	net.Conn
	p    *pipes
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.p.mu.Lock(); c.p.open--; c.p.mu.Unlock() })
	return c.Conn.Close()
}

func (p *pipes) count() (dials, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.open
}

var errNotListening = errors.New("not listening")

func (p *pipes) DialContext(context.Context, string, string) (net.Conn, error) {
	if p.serve == nil {
		return nil, errNotListening
	}
	a, b := net.Pipe()
	p.mu.Lock()
	p.dials++
	p.open++
	p.mu.Unlock()
	go p.serve(b)
	return &counted{Conn: a, p: p}, nil
}

// answers returns a server function that gives the same answer to each request.
func answers(text string) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func post(c *conn.Client) (*conn.Response, error) {
	return c.Do(context.Background(), &conn.Request{Address: "u", Method: "POST", Path: "/", Header: http.Header{}, Body: []byte("x")})
}

func exchange(t *testing.T, c *conn.Client) {
	t.Helper()
	r, err := post(c)
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	r.Finish()
}

// Guards against half-closed connections piling up after a burst of exchanges: the
// most recently used connection is reused first, so the others are never checked.
func TestIdleConnectionsAreClosedAfterABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{serve: answers(ok)}
		c := conn.New(conn.Config{Dialer: p, MaxIdleTime: time.Second})
		var burst []*conn.Response
		for range 8 {
			r, err := post(c)
			assert.NilError(t, err)
			burst = append(burst, r)
		}
		for _, r := range burst {
			_, err := io.ReadAll(r.Body)
			assert.NilError(t, err)
			r.Finish()
		}
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			exchange(t, c)
		}
		dials, open := p.count()
		assert.Equal(t, dials, 8)
		assert.Equal(t, open, 1)
		time.Sleep(3 * time.Second)
		_, open = p.count()
		assert.Equal(t, open, 0)
	})
}

// Guards against a request that ran being reported as not run, or the reverse:
// failing to connect and failing after a write have different outcomes.
func TestOnlyWhatWasNeverWrittenIsNotRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(net.Conn)
		want  outcome.Outcome
	}{
		{"no connection", nil, outcome.NotRun},
		{"broken before the answer", func(c net.Conn) { _, _ = c.Read(make([]byte, 1)); _ = c.Close() }, outcome.Unknown},
		{"head without an end", answers("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 70<<10)), outcome.Unknown},
		{"no HTTP", answers("hello\r\n\r\n"), outcome.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := post(conn.New(conn.Config{Dialer: &pipes{serve: c.serve}}))
			assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, c.want, "%v", err)
		})
	}
}

// Guards against a caller receiving the remainder of another caller's answer: the
// connection of an aborted exchange must not return to the pool.
func TestAConnectionThatDidNotEndCleanlyIsNotReused(t *testing.T) {
	p := &pipes{serve: answers(ok)}
	c := conn.New(conn.Config{Dialer: p})
	r, err := post(c)
	assert.NilError(t, err)
	r.Abort()
	exchange(t, c)
	exchange(t, c)
	assert.Equal(t, p.dials, 2)
	c.Retire("u")
	exchange(t, c)
	assert.Equal(t, p.dials, 3)
}

// Guards against a request that may not be repeated running twice. When an upstream
// closes a pooled connection while a request is sent on it, net/http's Transport
// sends the request again if its method or Idempotency-Key marks it as repeatable;
// this client must not.
func TestNothingIsSentAgainByItself(t *testing.T) {
	requests := 0
	p := &pipes{serve: func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		requests++
		_, _ = io.WriteString(c, ok)
		_, _ = http.ReadRequest(r)
		requests++
		_ = c.Close()
	}}
	c := conn.New(conn.Config{Dialer: p})
	do := func() (*conn.Response, error) {
		return c.Do(context.Background(), &conn.Request{Address: "u", Method: "GET", Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}})
	}
	r, err := do()
	assert.NilError(t, err)
	_, err = io.ReadAll(r.Body)
	assert.NilError(t, err)
	r.Finish()
	_, err = do()
	assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.Unknown)
	assert.Equal(t, requests, 2)
	assert.Equal(t, p.dials, 1)
}

// Guards against a request reaching an upstream that stopped accepting requests
// while the connection was being opened.
func TestARequestThatIsNoLongerWantedIsNotSent(t *testing.T) {
	reached := false
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer up.Close()
	c := conn.New(conn.Config{})
	_, err := c.Do(t.Context(), &conn.Request{Address: up.Listener.Addr().String(), Method: http.MethodGet, Path: "/", Header: http.Header{},
		StillWanted: func() bool { return false }})
	assert.Assert(t, errors.Is(err, conn.ErrNoLongerWanted), "%v", err)
	assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.NotRun)
	assert.Assert(t, !reached)
}
