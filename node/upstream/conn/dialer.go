package conn

import (
	"net"
	"syscall"
	"time"
)

// Bounds of a connection whose other side or way has gone without a word.
const (
	keepAliveIdle     = 2 * time.Second // before the first probe
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent bytes may wait for an acknowledgement.
	// Without it a machine that lost its power holds a request for minutes.
	unackedTimeout = 3 * time.Second
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// NewDialer makes a dialer whose connections end by themselves, within about
// four seconds, when the other side has lost power or cannot be reached.
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
