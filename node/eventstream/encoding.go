package eventstream

import "net/http"

// IsEncoded reports whether the body of an answer has a content coding, in which its events
// cannot be found.
func IsEncoded(h http.Header) bool {
	coding := h.Get("Content-Encoding")
	return coding != "" && coding != "identity"
}
