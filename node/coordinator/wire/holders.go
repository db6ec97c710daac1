package wire

import (
	"errors"
	"strings"
)

// ErrNoLease means that the host that was asked does not hold the lease.
var ErrNoLease = errors.New("this host does not hold the lease")

// ErrNotActing means that a request for the acting coordinator reached a host that is not.
var ErrNotActing = errors.New("the host is not the acting coordinator")

// HolderName returns the name of a process as a lease holder, from which others read
// its host and address.
func HolderName(host, address, process string) string { return host + " " + address + " " + process }

// SameHost reports whether two holders are processes of one host. Only the newer of
// them is running: they listen at the same address.
func SameHost(a, b string) bool {
	return a != "" && b != "" && hostOf(a) == hostOf(b) && AddressOf(a) == AddressOf(b)
}

// FormerProcessOf returns a function that reports whether a holder is a former process
// of the host of own.
func FormerProcessOf(own string) func(holder string) bool {
	return func(holder string) bool { return holder != own && SameHost(own, holder) }
}

// hostOf returns the host that a holder's name contains.
func hostOf(holder string) string {
	host, _, _ := strings.Cut(holder, " ")
	return host
}

// AddressOf returns the address that a holder's name contains; "": none.
func AddressOf(holder string) string {
	parts := strings.Fields(holder)
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}
