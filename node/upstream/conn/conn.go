// Package conn speaks HTTP/1.1 to upstreams, one attempt a connection at a
// time. It exists beside net/http's Transport because a request that may not
// be repeated needs what Transport hides: whether a byte of the attempt was
// written, no retry of its own, and a pool that can be retired as a whole
// when its connections have gone silent. docs/design/upstream-connections.md
// weighs both.
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
	// readBufferSize holds a few tokens' events; larger only costs memory a stream.
	readBufferSize = 2 << 10
	// maxHeadBytes bounds the head of an answer, so that a broken upstream
	// cannot fill a small host's memory.
	maxHeadBytes = 64 << 10
)

var errHeaderTooLarge = errors.New("head of the answer is too large")

// link is one connection to an upstream.
type link struct {
	nc            net.Conn
	br            *bufio.Reader
	pool          *pool
	gen           uint64 // of the pool when it was dialled
	written       int64  // bytes of the current exchange handed to the kernel
	headRemaining int64  // bytes the head of the answer may still take; <0: not in the head
	read          int64  // bytes of the current exchange that came
	reused        bool   // the current exchange is not the first
	idleSince     time.Time
	statedIdle    time.Duration // that the upstream stated; 0: it did not
	idleBefore    time.Duration // idle before the current exchange
}

func newLink(nc net.Conn, p *pool, gen uint64) *link {
	l := &link{nc: nc, pool: p, gen: gen, headRemaining: -1}
	l.br = bufio.NewReaderSize(l, readBufferSize)
	return l
}

// reset ends an exchange that was given up, and its connection. What the kernel
// still has to send is dropped: after a plain close it goes on sending, so that
// a request whose way was cut would reach its upstream seconds later, when the
// caller has its answer from elsewhere, or the upstream is about to leave.
func (l *link) reset() {
	if c, ok := l.nc.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // it fails only on a connection that is closed already
	}
	_ = l.nc.Close()
}

// Read counts what the head of an answer takes.
func (l *link) Read(p []byte) (int, error) {
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
func (l *link) Write(p []byte) (int, error) {
	n, err := l.nc.Write(p)
	l.written += int64(n)
	return n, err
}

// readHead reads the head of the answer to req, passing over interim answers.
func (l *link) readHead(req *http.Request) (*http.Response, error) {
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
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}
