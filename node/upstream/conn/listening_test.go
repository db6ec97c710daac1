package conn_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

func TestAnAddressIsNotListeningOnceItsListenerIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := conn.New(conn.Config{})
	assert.Assert(t, !c.NotListening(t.Context(), ln.Addr().String()))
	assert.NilError(t, ln.Close())
	assert.Assert(t, c.NotListening(t.Context(), ln.Addr().String()))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !c.NotListening(ended, ln.Addr().String()), "a dial without a result is no proof")
}
