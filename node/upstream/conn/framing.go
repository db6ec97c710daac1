package conn

import "net/http"

// Framing is how an answer states where its body ends (RFC 9112, section 6.3).
type Framing uint8

// The framings.
const (
	ByLength     Framing = iota // a Content-Length, or a status that has no body
	ByChunks                    // the last chunk
	ByConnection                // the end of the connection, which does not tell a whole body from a truncated one
)

// String returns the framing's name in logs and metrics.
func (f Framing) String() string { return [...]string{"length", "chunks", "connection"}[f] }

func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody: // also the answer to HEAD
		return ByLength
	case len(r.TransferEncoding) > 0:
		return ByChunks
	default:
		return ByConnection
	}
}
