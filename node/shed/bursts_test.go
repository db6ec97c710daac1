package shed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// burstHost is a host that accepts all connections of an interval at once, and whose probe
// returns after a part of the interval.
type burstHost struct {
	c             *Controller
	now           time.Time
	probe         bool
	closed, total int
}

func newBurstHost() *burstHost {
	b := &burstHost{now: time.Unix(1000, 0)}
	n := 0.0
	b.c = New(func() time.Time { return b.now }, func() float64 { n += 0.618; n -= float64(int(n)); return n })
	b.c.Probe = func() { b.probe = true }
	return b
}

// accept accepts connections over a time, each as long after the one before.
func (b *burstHost) accept(connections int, over time.Duration) {
	for range connections {
		b.now = b.now.Add(over / time.Duration(connections))
		b.total++
		if !b.c.Admit() {
			b.closed++
		}
	}
}

// answerProbe lets a probe that was sent return after a wait.
func (b *burstHost) answerProbe(wait time.Duration) {
	b.now = b.now.Add(wait)
	if b.probe {
		b.probe = false
		b.c.Observe(wait)
	}
}

// run offers connections in bursts for a time and returns the closed share of them.
func (b *burstHost) run(perSecond float64, apart time.Duration, returnsAfter float64, lasts time.Duration) float64 {
	b.closed, b.total = 0, 0
	for end := b.now.Add(lasts); b.now.Before(end); {
		began := b.now
		b.accept(int(perSecond*apart.Seconds()), apart/50)
		b.answerProbe(time.Duration(returnsAfter * float64(apart)))
		b.now = began.Add(apart)
	}
	return float64(b.closed) / float64(max(b.total, 1))
}

// Guards against a host that closes nothing because it accepts in bursts, between which the
// probe returns.
func TestBurstsOfConnectionsThatWaitAreClosed(t *testing.T) {
	for apart := 350 * time.Millisecond; apart <= 1500*time.Millisecond; apart += 50 * time.Millisecond {
		for _, returnsAfter := range []float64{0.5, 0.7, 0.9} {
			b := newBurstHost()
			b.run(1000, apart, returnsAfter, 3*time.Second)
			share := b.run(1000, apart, returnsAfter, 4*time.Second)
			assert.Check(t, share >= 0.75, "%.2f closed, bursts %v apart, the probe returns after %.1f of it", share, apart, returnsAfter)
		}
	}
}

// Guards against a wait that counts as idle time because it is long.
func TestALongWaitIsNoIdleTime(t *testing.T) {
	b := newBurstHost()
	for range 3 {
		b.accept(100, 10*time.Millisecond)
		b.answerProbe(maxGap + time.Second)
	}
	assert.Assert(t, b.c.Share() > 0)
}

// Guards against closing connections of a host that waits once in a while.
func TestPausesFarApartCloseNothing(t *testing.T) {
	for _, apart := range []time.Duration{maxGap + time.Second, 10 * time.Second, 10 * time.Minute} {
		t.Run(fmt.Sprint(apart), func(t *testing.T) {
			b := newBurstHost()
			for range 20 {
				b.accept(100, 10*time.Millisecond)
				b.answerProbe(300 * time.Millisecond)
				b.now = b.now.Add(apart)
			}
			assert.Equal(t, b.closed, 0)
		})
	}
}

// Guards against closing connections of a host that is idle between short waits.
func TestShortWaitsOfAnIdleHostCloseNothing(t *testing.T) {
	b := newBurstHost()
	for range 20 {
		b.accept(100, 10*time.Millisecond)
		b.answerProbe(maxWait + 5*time.Millisecond)
		b.now = b.now.Add(time.Second)
	}
	assert.Equal(t, b.closed, 0)
}

// Guards against closing connections of a host that served what came between two pauses.
func TestPausesWithServedConnectionsBetweenCloseNothing(t *testing.T) {
	b := newBurstHost()
	for range 20 {
		b.accept(100, 10*time.Millisecond)
		b.answerProbe(300 * time.Millisecond)
		for range 20 {
			b.accept(5, 50*time.Millisecond)
			b.answerProbe(time.Millisecond)
		}
	}
	assert.Equal(t, b.closed, 0)
}

// Guards against a share that outlives the flood at a host to which few connections come.
func TestAHostThatIsIdleAfterAFloodClosesNothing(t *testing.T) {
	b := newBurstHost()
	b.run(1000, 500*time.Millisecond, 0.5, 7*time.Second)
	assert.Assert(t, b.c.Share() > 0.5)
	b.now = b.now.Add(time.Minute)
	b.closed = 0
	for range 20 {
		b.accept(1, time.Second)
		b.answerProbe(time.Millisecond)
	}
	assert.Equal(t, b.closed, 0)
}

// Guards against a spell that ends because few connections come while the wait behind a
// burst goes on.
func TestFewConnectionsBehindABurstDoNotEndASpell(t *testing.T) {
	b := newBurstHost()
	for range 8 {
		b.accept(500, 150*time.Millisecond)
		b.accept(1, 300*time.Millisecond)
		b.answerProbe(700 * time.Millisecond)
	}
	assert.Assert(t, b.c.Share() >= 0.75, "%.2f", b.c.Share())
}

// Guards against a share that outlives the flood at a host whose few connections wait.
func TestAHostThatIsSlowAfterAFloodClosesNothing(t *testing.T) {
	b := newBurstHost()
	b.run(1000, 500*time.Millisecond, 0.5, 7*time.Second)
	assert.Assert(t, b.c.Share() > 0.5)
	for range 100 {
		b.accept(4, 200*time.Millisecond)
		b.answerProbe(100 * time.Millisecond)
	}
	assert.Equal(t, b.c.Share(), 0.0)
}

// Guards against closing connections of a host to which a few come now and then, each time
// with a long wait.
func TestAFewConnectionsNowAndThenAreNotClosed(t *testing.T) {
	for apart := time.Second; apart <= 5*time.Second; apart += 100 * time.Millisecond {
		for _, wait := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond} {
			b := newBurstHost()
			for range 40 {
				b.accept(minOffered, 10*time.Millisecond)
				b.answerProbe(wait)
				b.now = b.now.Add(apart)
			}
			assert.Check(t, b.closed == 0, "%d of %d closed, %v apart, wait %v", b.closed, b.total, apart, wait)
		}
	}
}

// Guards against a share that rises without an end since one probe is lost.
func TestALostProbeDoesNotCloseConnections(t *testing.T) {
	b := newBurstHost()
	b.c.Probe = func() {}
	b.accept(100, 10*time.Millisecond)
	for range 100 { // a few connections, and nothing that waits is seen
		b.accept(4, 400*time.Millisecond)
	}
	b.closed = 0
	b.c.Probe = func() { b.probe = true }
	for range 100 {
		b.accept(4, 200*time.Millisecond)
		b.answerProbe(time.Millisecond)
	}
	assert.Equal(t, b.c.Share(), 0.0)
}
