package conn

import (
	"errors"
	"net"
	"syscall"
)

// isClean reports whether an idle connection is open and has no unsolicited bytes
// to read. A request sent on a connection that its upstream has closed fails with
// an unknown outcome; this check prevents most such failures.
func isClean(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true // never wait for the connection to become readable
	})
	return err == nil && clean
}
