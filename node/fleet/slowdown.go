package fleet

import "time"

// statedSlowdown is how long an upstream stated work to take there, as a multiple of the
// usual time, and when that was received.
type statedSlowdown struct {
	multiple float64
	at       time.Time
}
