package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Dialer opens TCP connections with the delay of a distance to the other end:
// setting up a connection takes one round trip, and what is read arrives one round
// trip later. The delay of both directions is added to reading, which makes no
// difference to an exchange of request and answer.
type Dialer struct {
	RoundTrip func(address string) time.Duration // nil or 0: no delay
	base      net.Dialer
}

// DialContext opens a connection; its signature is that of
// http.Transport.DialContext.
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
	chunkSize = 16 << 10 // maximum number of bytes of one read from the network
	maxChunks = 32       // maximum number of chunks that wait for their time; the buffers of the network hold the remainder
)

// chunk is the result of one read, to be delivered from due on.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// delayedConn is a connection whose reads are delayed by rtt.
type delayedConn struct {
	net.Conn
	rtt       time.Duration
	chunks    chan chunk
	closed    chan struct{}
	closeOnce sync.Once

	readMu  sync.Mutex // held by the only reader
	current chunk

	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{} // closed when the deadline changes
}

func newDelayedConn(c net.Conn, rtt time.Duration) *delayedConn {
	d := &delayedConn{Conn: c, rtt: rtt, chunks: make(chan chunk, maxChunks), closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	go d.pump() // returns when either side closes the connection
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

// receive waits for the next chunk, the read deadline or the end of the
// connection.
func (d *delayedConn) receive() error {
	for {
		timer, changed := d.deadlineTimer()
		select {
		case d.current = <-d.chunks:
			timer.Stop()
			return nil
		case <-d.closed:
			timer.Stop()
			return net.ErrClosed
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return os.ErrDeadlineExceeded
		}
	}
}

// sleep waits for the given time. It returns net.ErrClosed when the connection is
// closed before.
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

// noDeadline is the maximum wait of a read that has no deadline.
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
