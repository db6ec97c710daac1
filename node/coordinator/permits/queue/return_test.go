package queue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against times of return that grow for as long as an overload lasts, and that a
// later one begins with.
func TestTimesOfReturnStayNearTheCallersWait(t *testing.T) {
	const maxWait = 500 * time.Millisecond
	q, now := New[int](), start
	r := Request{Service: "s", Model: "m", Cost: 1}
	longest, refused := time.Duration(0), 0
	for ms := range 60_000 {
		now = now.Add(time.Millisecond)
		if ms%100 == 0 {
			granted := false
			q.ScanModels("s", []string{"m"}, Scan[int]{Now: now, Late: never, Try: func(int) (bool, float64) {
				first := !granted
				granted = true
				return first, 1
			}})
		}
		if ms%33 != 0 {
			continue
		}
		after, hopeless := q.Refuse(r, maxWait, now)
		if !hopeless {
			q.Push(r, 0, now)
			continue
		}
		refused++
		longest = max(longest, after)
	}
	assert.Assert(t, refused > 100, "%d", refused)
	assert.Assert(t, longest < 20*maxWait, "%s", longest)
}
