package wire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/wire"
)

// echo serves connections that send back what they receive.
func echo(t *testing.T) *wire.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := wire.NewListener(ln)
	t.Cleanup(func() { _ = l.Close(); l.CloseConnections() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l
}

func roundTrip(t *testing.T, c net.Conn) error {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	assert.NilError(t, err)
	buf := make([]byte, 4)
	_, err = io.ReadFull(c, buf)
	if err == nil {
		assert.Equal(t, string(buf), "ping")
	}
	return err
}

// A device between the two ends loses its record of an open connection: nothing
// arrives on it any more and neither end receives an error, while a new connection
// works.
func TestFrozenConnectionIsSilentWhileNewOnesWork(t *testing.T) {
	l := echo(t)
	var d wire.Dialer
	old, err := d.DialContext(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer old.Close()
	assert.NilError(t, roundTrip(t, old))
	l.Freeze(false)
	assert.NilError(t, old.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	assert.Assert(t, errors.Is(roundTrip(t, old), os.ErrDeadlineExceeded))
	fresh, err := d.DialContext(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer fresh.Close()
	assert.NilError(t, roundTrip(t, fresh))
}

func TestDistantConnectionKeepsContentAndDeadlines(t *testing.T) {
	l := echo(t)
	d := wire.Dialer{RoundTrip: func(string) time.Duration { return 5 * time.Millisecond }}
	c, err := d.DialContext(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	began := time.Now()
	assert.NilError(t, roundTrip(t, c))
	assert.Assert(t, time.Since(began) >= 5*time.Millisecond) // a lower bound holds on any machine
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
	assert.NilError(t, c.Close())
}
