// Package conn is an HTTP/1.1 client for upstreams, with one exchange at a time on
// each connection. It replaces net/http's Transport because a request that may not
// be repeated needs what Transport does not offer: knowledge whether a byte of the
// attempt was written, no automatic retry, and a pool that can be retired as a
// whole when its connections have become unresponsive.
// docs/design/upstream-connections.md compares the two.
package conn

import (
	"bufio"
	"net"
	"time"
)

// readBufferSize holds the events of a few tokens, in bytes; a larger buffer
// only costs memory for each stream.
const readBufferSize = 2 << 10

// persistConn is one connection to an upstream.
type persistConn struct {
	nc         net.Conn
	br         *bufio.Reader
	unread     []byte // read before, and to be read again before all else
	pool       *pool
	gen        uint64    // generation of the pool when the connection was dialled
	written    int64     // bytes of the current exchange passed to the kernel
	read       int64     // bytes received in the current exchange
	reused     bool      // the current exchange is not the first
	exchanges  int       // number of the current exchange; the first is 1
	interim    int       // interim answers in the current exchange
	foreign    bool      // an answer came that is not proven to be that of its exchange
	dialled    time.Time // when it was opened
	sentHead   bool      // a HEAD request was sent: whether an answer has a body depends on whose it is
	idleSince  time.Time
	statedIdle time.Duration // idle time that the upstream allows, see statedIdleTime; 0 if not stated
	idleBefore time.Duration // how long it was idle before the current exchange
}

func newPersistConn(nc net.Conn, p *pool, gen uint64) *persistConn {
	l := &persistConn{nc: nc, pool: p, gen: gen, dialled: time.Now(), exchanges: 1}
	l.br = bufio.NewReaderSize(l, readBufferSize)
	return l
}

func (l *persistConn) use() ConnUse { return ConnUse{Exchanges: l.exchanges, Idle: l.idleBefore} }

// reset closes the connection of an abandoned exchange and discards what the kernel
// has not sent yet. After a plain close the kernel goes on sending: a request held
// up by a network failure would reach its upstream seconds later, when the caller
// already has an answer from another upstream, or this one is draining.
func (l *persistConn) reset() {
	if c, ok := l.nc.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_ = l.nc.Close()
}

// Read implements io.Reader. It counts the bytes.
func (l *persistConn) Read(p []byte) (int, error) {
	if len(l.unread) > 0 {
		n := copy(p, l.unread)
		l.unread = l.unread[n:]
		return n, nil
	}
	n, err := l.nc.Read(p)
	l.read += int64(n)
	return n, err
}

// Write counts what was handed over: an exchange that failed with nothing
// written certainly did not run, any other may have.
func (l *persistConn) Write(p []byte) (int, error) {
	n, err := l.nc.Write(p)
	l.written += int64(n)
	return n, err
}

// mayHoldAnotherAnswer reports whether bytes of an answer to an earlier request may come
// before those of the present one.
func (l *persistConn) mayHoldAnotherAnswer(r *Request) bool {
	return r.Owner != nil && (l.exchanges > 1 || l.foreign)
}
