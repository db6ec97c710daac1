package conn

import (
	"errors"
	"net"
	"syscall"
)

// isClean says that an idle connection has neither ended nor brought bytes that
// nobody asked for. A request sent on one that its upstream has closed fails
// without telling whether it ran; looking first keeps most requests from that.
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
