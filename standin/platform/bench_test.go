package platform_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/store"
	"peridotpier.example/node/store/rest"
	standin "peridotpier.example/standin/platform"
)

// BenchmarkCommit measures one conditional write, in memory and over HTTP on
// loopback.
func BenchmarkCommit(b *testing.B) {
	for _, c := range []struct {
		name  string
		table func() store.Table
	}{{"memory", func() store.Table { return memory(nil).Table }}, {"http", func() store.Table { return overHTTP(b).Table }}} {
		b.Run(c.name, func(b *testing.B) {
			tb, last := c.table(), store.Absent
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v, err := tb.Commit(b.Context(), store.Txn{Op: fmt.Sprint(i),
					Conds:  []store.Cond{{Key: "k", Version: last}},
					Writes: []store.Write{{Key: "k", Value: []byte("value")}}})
				assert.NilError(b, err)
				last = v
			}
		})
	}
}

// countedListener counts the bytes of all its connections, in both directions.
type countedListener struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, &l.bytes}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPollBytes measures the bytes on the wire for one poll of a row with the
// size of config/head.
func BenchmarkPollBytes(b *testing.B) {
	tb := standin.NewTable()
	_, err := tb.Commit(b.Context(), store.Txn{Op: "a", Writes: []store.Write{{Key: "config/head", Value: make([]byte, 173)}}})
	assert.NilError(b, err)
	srv := httptest.NewUnstartedServer(standin.Handler(standin.Services{Table: tb}))
	l := &countedListener{Listener: srv.Listener}
	srv.Listener = l
	srv.Start()
	defer srv.Close()
	c := rest.New(rest.Config{BaseURL: srv.URL})
	defer c.Close()
	polls := 0
	for b.Loop() {
		_, err := c.Get(b.Context(), "config/head")
		assert.NilError(b, err)
		polls++
	}
	b.ReportMetric(float64(l.bytes.Load())/float64(polls), "wire-bytes/poll")
}
