package server

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// arrivedListener wraps the connections that it accepts in arrivedConns.
type arrivedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l arrivedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	return arrivedConn{tcp}, nil
}

// arrivedConn is a connection whose read deadline bounds the wait for bytes: those that
// have arrived can be read after it too. Otherwise a caller whose body came in time would
// be told that it did not, because this host was late to read it.
type arrivedConn struct{ *net.TCPConn }

// Read implements net.Conn.
func (c arrivedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n = c.readArrived(p); n > 0 {
		return n, nil
	}
	return 0, err
}

// readArrived reads without a wait; it returns 0 if no byte has arrived.
func (c arrivedConn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // not Read, which the deadline would end
		n, _ = syscall.Read(int(fd), p) // the socket does not block
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}
