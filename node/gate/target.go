package gate

import "strings"

// sentPath returns the path of a request's target as its caller sent it, without a query:
// escapes are not decoded, and dot segments and repeated slashes stay. The path of an
// absolute target (RFC 9112, 3.2.2) without one is "/". A target that names no path, as
// "*" or an authority, is returned as it is; no route begins it, as none begins without a
// slash.
func sentPath(target string) string {
	target, _, _ = strings.Cut(target, "?")
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	if start := strings.IndexByte(rest, '/'); start >= 0 {
		return rest[start:]
	}
	return "/"
}
