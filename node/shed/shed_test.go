package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// plant simulates a host that serves a number of requests a second, in order of arrival, of
// which each gets its share of the processor in a part of each tenth of a second.
type plant struct {
	c         *Controller
	now       time.Time
	perSecond float64
	share     float64
	queue     []time.Time // acceptance of the connections that wait
	budget    float64
	probedAt  time.Time // of the probe that is in the queue
}

func newPlant(perSecond, share float64) *plant {
	p := &plant{now: time.Unix(1000, 0), perSecond: perSecond, share: share}
	n := 0.0
	defer func() { p.c.Probe = func() { p.probedAt = p.now } }()
	p.c = New(func() time.Time { return p.now }, func() float64 { n += 0.618; n -= float64(int(n)); return n })
	return p
}

// run offers connections at a rate and returns how many were closed, and the longest wait
// of those served after half of the time.
func (p *plant) run(offered float64, lasts time.Duration) (closed, total int, longest time.Duration) {
	const step = time.Millisecond
	arrivals, end := 0.0, p.now.Add(lasts)
	half := p.now.Add(lasts / 2)
	for p.now.Before(end) {
		p.now = p.now.Add(step)
		for arrivals += offered * step.Seconds(); arrivals >= 1; arrivals-- {
			total++
			if p.c.Admit() {
				p.queue = append(p.queue, p.now)
			} else {
				closed++
			}
		}
		if float64(p.now.UnixMilli()%100) >= 100*p.share {
			continue // the processor's share of this tenth of a second is used up
		}
		for p.budget += p.perSecond * step.Seconds() / p.share; p.budget >= 1 && len(p.queue) > 0; p.budget-- {
			wait := p.now.Sub(p.queue[0])
			p.queue = p.queue[1:]
			if !p.probedAt.IsZero() && !p.probedAt.After(p.now.Add(-wait)) {
				p.c.Observe(p.now.Sub(p.probedAt))
				p.probedAt = time.Time{}
			}
			if p.now.After(half) {
				longest = max(longest, wait)
			}
		}
		p.budget = min(p.budget, 1)
	}
	return closed, total, longest
}

// Guards against a host that reads more than it can serve, so that all wait, and against one
// that closes connections which it could serve.
func TestOnlyWhatCannotBeServedIsClosed(t *testing.T) {
	for _, share := range []float64{0.12, 0.4, 1} {
		p := newPlant(400, share)
		closed, _, _ := p.run(250, 5*time.Second)
		assert.Equal(t, closed, 0, "it serves 400 a second")
		closed, total, longest := p.run(1200, 10*time.Second)
		t.Logf("share %.2f: closed %d of %d, longest wait %v", share, closed, total, longest)
		assert.Assert(t, float64(closed) >= 0.6*float64(total) && float64(closed) <= 0.8*float64(total))
		assert.Assert(t, longest <= time.Second/3, "%v", longest)
		p.run(100, 5*time.Second)
		closed, _, _ = p.run(250, 5*time.Second)
		assert.Equal(t, closed, 0, "after the flood")
	}
}

// Guards against closing connections because of one pause of the process.
func TestOnePauseClosesNothing(t *testing.T) {
	p := newPlant(400, 1)
	p.run(300, time.Second)
	p.now = p.now.Add(300 * time.Millisecond)
	for range 50 {
		p.queue = append(p.queue, p.now.Add(-300*time.Millisecond))
	}
	closed, _, _ := p.run(200, 2*time.Second)
	assert.Equal(t, closed, 0)
}
