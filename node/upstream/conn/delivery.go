package conn

import (
	"net"
	"syscall"
	"time"
	"unsafe"
)

// deliveryCheckInterval is how often a connection whose other side has ended is asked whether
// all that was written has arrived there: some round trips between data centres.
const deliveryCheckInterval = 5 * time.Millisecond

// tcpClosed is the state in TCP_INFO of Linux, whose first byte it is, of a connection that was
// reset, or has ended on both sides.
const tcpClosed = 7

// awaitDelivery waits until all that was written to a connection whose other side has ended has
// been acknowledged. It returns false if the connection was reset before, or given up: the
// other side ended with a part of the request unread. Connections that do not know are believed.
func awaitDelivery(nc net.Conn, late <-chan time.Time) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	for {
		pending, state := 0, 0
		if raw.Control(func(fd uintptr) { pending, state = unacknowledged(fd), tcpState(fd) }) != nil {
			return false // closed meanwhile
		}
		switch {
		case pending == 0:
			return true
		case state == tcpClosed:
			return false
		}
		select {
		case <-late:
			return false
		case <-time.After(deliveryCheckInterval):
		}
	}
}

// unacknowledged returns how many bytes that were written the other side has not acknowledged;
// 0 if the kernel does not tell. After a reset the number stays.
func unacknowledged(fd uintptr) int {
	var n int32
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); errno != 0 {
		return 0
	}
	return int(n)
}

// tcpState returns the state of a connection; 0 if the kernel does not tell.
func tcpState(fd uintptr) int {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return 0
	}
	return info & 0xff
}
