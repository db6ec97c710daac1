package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/settings"
)

// unacknowledged returns how many bytes that were written have not reached the kernel of
// the other end.
func unacknowledged(t *testing.T, c *net.TCPConn) int32 {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	var n int32
	assert.NilError(t, raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
		assert.Equal(t, errno, syscall.Errno(0))
	}))
	return n
}

// Guards against a caller that is told that its body is incomplete, though all of it had
// arrived within the time for it: the host reads it after that time.
func TestABodyThatCameInTimeIsReadLate(t *testing.T) {
	t.Parallel()
	const size = 32 << 10 // more than the HTTP server reads with the head
	for _, missing := range []int{0, 1} {
		t.Run(fmt.Sprint("missing ", missing), func(t *testing.T) {
			t.Parallel()
			arrived, read := make(chan struct{}), make(chan error, 1)
			s := &Server{cfg: Config{Settings: &settings.Settings{}}, log: event.NewLog(nil), metrics: metrics.New()}
			s.limitClients()
			l, err := s.newListener("callers", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-arrived
				_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
				body, err := io.ReadAll(r.Body)
				if err == nil && len(body) != size {
					err = fmt.Errorf("%d bytes", len(body))
				}
				read <- err
			}), nil)
			assert.NilError(t, err)
			go func() { _ = l.serve() }()
			t.Cleanup(l.close)
			c, err := net.Dial("tcp", l.address())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size-missing))
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := unacknowledged(t, c.(*net.TCPConn)); n > 0 {
					return poll.Continue("%d bytes are on their way", n)
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			close(arrived)
			err = <-read
			assert.Equal(t, errors.Is(err, os.ErrDeadlineExceeded), missing > 0, "%v", err)
			assert.Assert(t, missing > 0 || err == nil, "%v", err)
		})
	}
}
