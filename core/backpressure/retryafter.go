package backpressure

import (
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the backoff that an upstream may ask for.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter parses a Retry-After value of seconds, which may have a fraction. It
// returns 0 for an invalid value and for a date, which upstreams here do not send.
func ParseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
