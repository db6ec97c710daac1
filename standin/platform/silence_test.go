package platform_test

import (
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/store"
	"peridotpier.example/node/store/rest"
	standin "peridotpier.example/standin/platform"
)

// silentConn discards all that is read once its listener silences it; neither end
// receives an error.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// silentListener can make all open connections unresponsive; new ones work.
type silentListener struct {
	net.Listener
	mu     sync.Mutex
	silent *atomic.Bool // of the connections accepted since the last silence
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	return silentConn{c, l.silent}, err
}

func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent.Store(true)
	l.silent = new(atomic.Bool)
}

// Symptom: a host cannot use the table for many successive timeouts although the
// table is available.
// Sequence: a firewall drops its state of the open connections; the client tries
// its idle connections one after the other.
// Cause: only the connection that timed out was closed.
func TestOneTimeoutRetiresAllSilentConnections(t *testing.T) {
	const open = 8
	f := standin.NewFaults(1, nil)
	f.Set(standin.Settings{Delay: 20 * time.Millisecond}) // so that calls at once need a connection each
	srv := httptest.NewUnstartedServer(standin.Handler(standin.Services{Table: standin.NewTableWith(f)}))
	l := &silentListener{Listener: srv.Listener, silent: new(atomic.Bool)}
	srv.Listener = l
	srv.Start()
	defer srv.Close()
	c := rest.New(rest.Config{BaseURL: srv.URL, Timeout: 2 * time.Second})
	defer c.Close()
	var wg sync.WaitGroup
	for range open {
		wg.Go(func() {
			_, err := c.Get(t.Context(), "k")
			assert.Check(t, err)
		})
	}
	wg.Wait()
	l.silence()
	_, err := c.Commit(t.Context(), store.Txn{Op: "a"})
	assert.ErrorIs(t, err, store.ErrUnconfirmed)
	for range open {
		_, err = c.Commit(t.Context(), store.Txn{Op: "a"})
		assert.NilError(t, err)
	}
}
