package backpressure

import (
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds what is read of a time to stay away.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter reads for how long to stay away, in seconds with a fraction; 0: it names
// no time, or a date, which upstreams here do not send.
func ParseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
