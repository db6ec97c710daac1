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
	return newDistant(c, rtt), nil
}

const (
	pieceSize  = 16 << 10 // bytes of one read from the network
	pieceCount = 32       // pieces under way at most; the network's own buffers hold the rest
)

// piece is what was read at one time, to be seen from due on.
type piece struct {
	data []byte
	err  error
	due  time.Time
}

// distant is a connection whose reads come late.
type distant struct {
	net.Conn
	rtt    time.Duration
	pieces chan piece
	closed chan struct{}
	once   sync.Once

	reading sync.Mutex // held by the one reader
	current piece

	mu       sync.Mutex
	deadline time.Time
	moved    chan struct{} // closed when the deadline changes
}

func newDistant(c net.Conn, rtt time.Duration) *distant {
	d := &distant{Conn: c, rtt: rtt, pieces: make(chan piece, pieceCount), closed: make(chan struct{}), moved: make(chan struct{})}
	go d.pump() // ends when the connection is closed by either side
	return d
}

func (d *distant) pump() {
	for {
		buf := make([]byte, pieceSize)
		n, err := d.Conn.Read(buf)
		select {
		case d.pieces <- piece{buf[:n], err, time.Now().Add(d.rtt)}:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (d *distant) Read(p []byte) (int, error) {
	d.reading.Lock()
	defer d.reading.Unlock()
	for len(d.current.data) == 0 {
		if d.current.err != nil {
			return 0, d.current.err
		}
		if err := d.next(); err != nil {
			return 0, err
		}
	}
	if err := d.wait(time.Until(d.current.due)); err != nil {
		return 0, err
	}
	n := copy(p, d.current.data)
	d.current.data = d.current.data[n:]
	return n, nil
}

// next waits for the next piece.
func (d *distant) next() error {
	for {
		timer, moved := d.timer()
		select {
		case d.current = <-d.pieces:
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

// wait lets d pass, unless the connection is closed.
func (d *distant) wait(left time.Duration) error {
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

// never is far enough away for a deadline that is not set.
const never = 24 * time.Hour

func (d *distant) timer() (*time.Timer, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deadline.IsZero() {
		return time.NewTimer(never), d.moved
	}
	return time.NewTimer(time.Until(d.deadline)), d.moved
}

// SetReadDeadline implements net.Conn.
func (d *distant) SetReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = t
	close(d.moved)
	d.moved = make(chan struct{})
	return nil
}

// SetDeadline implements net.Conn.
func (d *distant) SetDeadline(t time.Time) error {
	return errors.Join(d.SetReadDeadline(t), d.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (d *distant) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
