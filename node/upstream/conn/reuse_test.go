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

// serveRaw listens on a loopback port, serves each connection with serve and returns
// the address. n counts the connections from 1.
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

// Guards against a caller receiving the second answer to another caller's request:
// an upstream sends two answers, and bytes after the first are left to the next
// request on the connection.
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

// Guards against a request being lost at a healthy upstream: the upstream closes an
// idle connection, and the next request is sent on it without a check.
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

// Guards against requests failing at an upstream that keeps idle connections only
// briefly: it states its idle time in Keep-Alive, and a connection is reused later.
func TestTheStatedIdleTimeIsApplied(t *testing.T) {
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

// Guards against an upstream reading the head of one request as the body of another:
// it answers a long request before it has read the body, and the connection is
// reused while part of the body is still to be sent.
func TestAConnectionIsNotReusedAfterAnEarlyAnswer(t *testing.T) {
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
		assert.Check(t, err != nil || strings.Count(string(got), "\x00") == long, "the remainder of the body contains no other request")
	})
	c := conn.New(conn.Config{})
	assert.Equal(t, roundTrip(t, c, address, long), "ok")
	assert.Equal(t, roundTrip(t, c, address, long), "ok")
	assert.Equal(t, conns.Load(), int32(2))
}

// Guards against a request running after its host has abandoned it, with an unknown
// outcome for the caller: its context ends just before it is sent on a pooled
// connection, and this is noticed only while the request is being written.
func TestNothingIsSentAfterTheContextEnds(t *testing.T) {
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
	for range 200 { // whether the write or the end of the context comes first is random
		assert.Equal(t, roundTrip(t, c, address, 0), "ok")
		_, err := c.Do(ended, &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
		assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.NotRun)
	}
	assert.Equal(t, received.Load(), int32(200))
}
