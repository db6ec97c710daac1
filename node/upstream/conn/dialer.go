package conn

import (
	"net"
	"syscall"
	"time"
)

// Bounds after which a connection fails whose peer or network path is lost.
const (
	keepAliveIdle     = 2 * time.Second // before the first keep-alive probe
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent bytes may remain unacknowledged. Without it
	// a request to a machine that lost power would be stuck for minutes.
	unackedTimeout = 3 * time.Second
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// NewDialer returns a dialer whose connections fail within about four seconds
// when the peer has lost power or cannot be reached.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}
