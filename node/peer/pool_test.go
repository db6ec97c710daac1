package peer

import (
	"context"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
)

// Guards against a call that fails because another one dialled the same host at the same
// time and closed its connection.
func TestTwoCallsThatDialAtOnceShareOneConnection(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	p := newConnPool(func(context.Context, string) (net.Conn, error) {
		both.Done()
		both.Wait() // both calls found no connection
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		return near, nil
	})
	defer p.close()
	got := make([]*drpcconn.Conn, 2)
	var calls sync.WaitGroup
	for i := range got {
		calls.Go(func() {
			c, err := p.get(t.Context(), "a")
			assert.Check(t, err == nil)
			got[i] = c
		})
	}
	calls.Wait()
	assert.Assert(t, got[0] == got[1])
	assert.Assert(t, !isClosed(got[0]))
}
