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

// Symptom: a request reaches an upstream six seconds after its caller had the
// answer of another, and after the upstream has said that it leaves.
// Sequence: the way to an upstream is cut; the attempt is given up and its
// connection closed; the way heals.
// Cause: the kernel goes on sending what was written before a plain close.
func TestAnExchangeThatWasGivenUpIsReset(t *testing.T) {
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
	assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET), "it is dropped, not ended in order")
}
