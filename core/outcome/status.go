package outcome

import "net/http"

// PromisesNotRun reports whether an HTTP status tells a caller that its request has not run
// and never will, so that it may send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
