package conn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

const (
	boundsTimeLeft = 5 * time.Second
	// boundReached is when an exchange has ended that a bound on bytes ends: long before its time is up.
	boundReached = time.Second
)

// flood writes text until the connection ends.
func flood(c net.Conn, text string) {
	text = strings.Repeat(text, 1+32<<10/len(text))
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// Guards against a head, or an answer to another request, without end that is read until the
// time is up: only the count of its bytes can end it before.
func TestEndlessBytesEndAnExchange(t *testing.T) {
	for _, c := range []struct {
		name, start, piece string
		want               error // nil: any
	}{
		{"a status line", "HTTP/1.1 2", "0", nil},
		{"a header", "HTTP/1.1 200 OK\r\nA: ", "x", nil},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: x\r\n", nil},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", nil},
		{"the body of another's answer", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1000000000\r\n\r\n", "x", conn.ErrBodyTooLarge},
		{"chunks of another's answer", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", conn.ErrBodyTooLarge},
		{"chunks of one byte of another's answer", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", conn.ErrForeignAnswer}, // so many that the bound on time may end them first
		{"answers to others", "", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx", conn.ErrForeignAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(nc, c.start)
					flood(nc, c.piece)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), boundsTimeLeft)
			defer cancel()
			began := time.Now()
			_, err := conn.New(conn.Config{}).Do(ctx, &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}, Owner: ownerByID})
			assert.Assert(t, err != nil)
			assert.Assert(t, c.want == nil || errors.Is(err, c.want), "%v", err)
			assert.Assert(t, time.Since(began) < boundReached, "after %v: %v", time.Since(began), err)
		})
	}
}

// ownerByID takes the answers that name b for another's.
func ownerByID(h http.Header) conn.Owner {
	if h.Get("Id") == "b" {
		return conn.OwnedByOther
	}
	return conn.OwnedByRequest
}

// Guards against a connection that is closed though its answer is whole, or used with the
// bound of the read before it.
func TestADiscardedAnswerThatIsWholeKeepsItsConnection(t *testing.T) {
	const wait = 100 * time.Millisecond
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if i > 0 {
				time.Sleep(2 * wait)
			}
			_, _ = io.WriteString(c, ok)
		}
	})
	c := conn.New(conn.Config{})
	r, err := c.Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
	assert.NilError(t, err)
	r.Discard(16, wait)
	assert.Assert(t, c.HasIdleConnection(address))
	assert.Equal(t, roundTrip(t, c, address, 0), "ok")
}
