package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Dialer opens TCP connections that are as slow as the distance to the other
// end makes them: setting up takes one round trip, and what is read arrives
// one round trip later. Both directions' delay falls on reading, which to an
// exchange of request and answer is the same.
type Dialer struct {
	RoundTrip func(address string) time.Duration // nil or 0: no distance
	base      net.Dialer
}

// DialContext has the form that net/http.Transport takes.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.base.DialContext(ctx, network, address)
	if err != nil || d.RoundTrip == nil {
		return c, err
	}
	rtt := d.RoundTrip(address)
	if rtt <= 0 {
		return c, nil
	}
	timer := time.NewTimer(rtt)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		_ = c.Close()
		return nil, ctx.Err()
	}
	return newDelayedConn(c, rtt), nil
}

const (
	chunkSize = 16 << 10 // bytes of one read from the network
	maxChunks = 32       // pieces under way at most; the network's own buffers hold the rest
)

// chunk is what was read at one time, to be seen from due on.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// delayedConn is a connection whose reads come late.
type delayedConn struct {
	net.Conn
	rtt       time.Duration
	chunks    chan chunk
	closed    chan struct{}
	closeOnce sync.Once

	readMu  sync.Mutex // held by the one reader
	current chunk

	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{} // closed when the deadline changes
}

func newDelayedConn(c net.Conn, rtt time.Duration) *delayedConn {
	d := &delayedConn{Conn: c, rtt: rtt, chunks: make(chan chunk, maxChunks), closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	go d.pump() // ends when the connection is closed by either side
	return d
}

func (d *delayedConn) pump() {
	for {
		buf := make([]byte, chunkSize)
		n, err := d.Conn.Read(buf)
		select {
		case d.chunks <- chunk{buf[:n], err, time.Now().Add(d.rtt)}:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(p []byte) (int, error) {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	for len(d.current.data) == 0 {
		if d.current.err != nil {
			return 0, d.current.err
		}
		if err := d.receive(); err != nil {
			return 0, err
		}
	}
	if err := d.sleep(time.Until(d.current.due)); err != nil {
		return 0, err
	}
	n := copy(p, d.current.data)
	d.current.data = d.current.data[n:]
	return n, nil
}

// receive waits for the next piece.
func (d *delayedConn) receive() error {
	for {
		timer, moved := d.deadlineTimer()
		select {
		case d.current = <-d.chunks:
			timer.Stop()
			return nil
		case <-d.closed:
			timer.Stop()
			return net.ErrClosed
		case <-moved:
			timer.Stop()
		case <-timer.C:
			return os.ErrDeadlineExceeded
		}
	}
}

// sleep lets d pass, unless the connection is closed.
func (d *delayedConn) sleep(left time.Duration) error {
	if left <= 0 {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-d.closed:
		return net.ErrClosed
	}
}

// noDeadline is far enough away for a deadline that is not set.
const noDeadline = 24 * time.Hour

func (d *delayedConn) deadlineTimer() (*time.Timer, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deadline.IsZero() {
		return time.NewTimer(noDeadline), d.deadlineChanged
	}
	return time.NewTimer(time.Until(d.deadline)), d.deadlineChanged
}

// SetReadDeadline implements net.Conn.
func (d *delayedConn) SetReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = t
	close(d.deadlineChanged)
	d.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline implements net.Conn.
func (d *delayedConn) SetDeadline(t time.Time) error {
	return errors.Join(d.SetReadDeadline(t), d.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
