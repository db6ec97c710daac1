package quota

import "time"

// at returns a time that is the given number of seconds after the start of a test.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}
