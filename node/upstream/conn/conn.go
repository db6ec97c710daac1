// Package conn is an HTTP/1.1 client for upstreams, with one exchange at a time on
// each connection. It replaces net/http's Transport because a request that may not
// be repeated needs what Transport does not offer: knowledge whether a byte of the
// attempt was written, no automatic retry, and a pool that can be retired as a
// whole when its connections have become unresponsive.
// docs/design/upstream-connections.md compares the two.
package conn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// readBufferSize holds the events of a few tokens, in bytes; a larger buffer
	// only costs memory for each stream.
	readBufferSize = 2 << 10
	// maxHeadBytes bounds the head of an answer, so that a faulty upstream cannot
	// exhaust the memory of a small host.
	maxHeadBytes = 64 << 10
)

var errHeaderTooLarge = errors.New("head of the answer is too large")

// persistConn is one connection to an upstream.
type persistConn struct {
	nc            net.Conn
	br            *bufio.Reader
	pool          *pool
	gen           uint64    // generation of the pool when the connection was dialled
	written       int64     // bytes of the current exchange passed to the kernel
	headRemaining int64     // bytes that the head of the answer may still take; negative while no head is read
	read          int64     // bytes received in the current exchange
	reused        bool      // the current exchange is not the first
	exchanges     int       // number of the current exchange; the first is 1
	interim       int       // interim answers in the current exchange
	foreign       bool      // an answer came that is not proven to be that of its exchange
	dialled       time.Time // when it was opened
	sentHead      bool      // a HEAD request was sent: whether an answer has a body depends on whose it is
	idleSince     time.Time
	statedIdle    time.Duration // idle time that the upstream allows, see statedIdleTime; 0 if not stated
	idleBefore    time.Duration // how long it was idle before the current exchange
}

func newPersistConn(nc net.Conn, p *pool, gen uint64) *persistConn {
	l := &persistConn{nc: nc, pool: p, gen: gen, dialled: time.Now(), headRemaining: -1, exchanges: 1}
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

// Read implements io.Reader. It counts the bytes and bounds the head of an answer.
func (l *persistConn) Read(p []byte) (int, error) {
	if l.headRemaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.headRemaining > 0 && int64(len(p)) > l.headRemaining {
		p = p[:l.headRemaining]
	}
	n, err := l.nc.Read(p)
	l.read += int64(n)
	if l.headRemaining > 0 {
		l.headRemaining -= int64(n)
	}
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

// readHead reads the head of the answer to req, passing over interim answers.
func (l *persistConn) readHead(r *Request, req *http.Request) (*http.Response, error) {
	l.headRemaining = maxHeadBytes
	defer func() { l.headRemaining = -1 }()
	for {
		resp, err := http.ReadResponse(l.br, req)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if l.mayHoldAnotherAnswer(r) && isSpliced(resp) {
			r.reportForeign(ForeignAnswer{Status: resp.StatusCode, Header: resp.Header, Owner: OwnerUnnamed, Use: l.use()})
			return nil, errSplicedHead
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
		l.interim++
	}
}
