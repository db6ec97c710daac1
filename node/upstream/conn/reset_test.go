package conn_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

// Guards against a request reaching its upstream six seconds after the caller got
// an answer from another, and after the upstream began to drain. The network path
// fails, the attempt is abandoned and its connection closed, and the path recovers:
// after a plain close the kernel goes on sending what was written before it.
func TestAnAbandonedExchangeIsReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		for buf := make([]byte, 4096); err == nil; {
			_, err = c.Read(buf)
		}
		ended <- err
	}()
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, &conn.Request{Address: ln.Addr().String(), Method: http.MethodGet, Target: "/", Header: http.Header{}})
	assert.Assert(t, err != nil)
	assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET), "the connection is reset, not closed in order")
}
