package conn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/conn"
)

// serveRaw serves each connection with its own function on a loopback port.
func serveRaw(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var n atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(int(n.Add(1)), c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func roundTrip(t *testing.T, c *conn.Client, address string, body int) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, &conn.Request{Address: address, Method: "POST", Target: "/a%2fb?c", Host: "h.example", Header: http.Header{}, Body: make([]byte, body)})
	assert.NilError(t, err)
	got, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	r.Finish()
	return string(got)
}

// Symptom: a caller gets the second answer to somebody else's request.
// Sequence: an upstream sends an answer twice; the connection is used again.
// Cause: what lies behind an answer is left for the next reader.
func TestAnExtraAnswerIsNeverRead(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "late": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, ok)
					time.Sleep(pause)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
				}
			})
			c := conn.New(conn.Config{})
			for range 4 {
				assert.Equal(t, roundTrip(t, c, address, 0), "ok")
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
}

// Symptom: a request is lost though its upstream is sound.
// Sequence: an upstream closes an idle connection; the next request goes out on it.
// Cause: nobody looks whether the connection has ended.
func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, ok)
		}
	})
	c := conn.New(conn.Config{})
	for range 5 {
		assert.Equal(t, roundTrip(t, c, address, 0), "ok")
		time.Sleep(20 * time.Millisecond)
	}
}

// Symptom: requests are cut at an upstream that keeps idle connections briefly.
// Sequence: it states a time; a request follows after more than that.
// Cause: the stated time is not heeded.
func TestTheStatedIdleTimeIsHeeded(t *testing.T) {
	var conns atomic.Int32
	address := serveRaw(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n))
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := conn.New(conn.Config{})
	roundTrip(t, c, address, 0)
	time.Sleep(300 * time.Millisecond)
	roundTrip(t, c, address, 0)
	assert.Equal(t, conns.Load(), int32(1))
	time.Sleep(800 * time.Millisecond)
	roundTrip(t, c, address, 0)
	assert.Equal(t, conns.Load(), int32(2))
}

// Symptom: an upstream reads the head of one request as the body of another.
// Sequence: it answers a long request before it has read it, and reads on later.
// Cause: the connection is used again while a body is still due on it.
func TestAnEarlyAnswerLeavesItsConnectionUnused(t *testing.T) {
	const long = 4 << 20
	var conns atomic.Int32
	address := serveRaw(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		assert.Check(t, req.RequestURI == "/a%2fb?c" && req.Host == "h.example")
		_, _ = io.WriteString(c, ok)
		time.Sleep(50 * time.Millisecond)
		got, err := io.ReadAll(req.Body)
		assert.Check(t, err != nil || strings.Count(string(got), "\x00") == long, "the rest of the body is the body's")
	})
	c := conn.New(conn.Config{})
	assert.Equal(t, roundTrip(t, c, address, long), "ok")
	assert.Equal(t, roundTrip(t, c, address, long), "ok")
	assert.Equal(t, conns.Load(), int32(2))
}

// Symptom: a request that its host has given up on is run; its caller is told
// nothing of whether it was.
// Sequence: a request's time ends just before it is sent on a pooled connection.
// Cause: that its time is over is noticed while the request is being written.
func TestNothingIsSentAfterItsTime(t *testing.T) {
	var received atomic.Int32
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			received.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := conn.New(conn.Config{Dialer: conn.NewDialer()})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 200 { // whether its write or the end comes first is chance
		assert.Equal(t, roundTrip(t, c, address, 0), "ok")
		_, err := c.Do(ended, &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
		assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.NotRun)
	}
	assert.Equal(t, received.Load(), int32(200))
}
