// Package shed decides which new connections of callers a host closes unread, because its
// processor cannot serve more. A caller whose request was not read asks another host; one
// that was read waits here, and makes all others wait.
package shed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// window is the time over which the shortest wait is taken. It is long enough for a
	// processor share that is given out each tenth of a second.
	window = 200 * time.Millisecond
	// maxWait is the shortest wait in a window above which there is a standing queue of
	// goroutines. Single waits are longer at a host with a small share of a processor.
	maxWait = 20 * time.Millisecond
	// minOffered is the number of new connections in a window below which none is closed:
	// then they are not what the processor is busy with.
	minOffered = 8
	// probeInterval is the least time between two probes: several in a window.
	probeInterval = 30 * time.Millisecond
	// increase and decrease are how the closed share of new connections changes with each
	// window: towards 1 by a part of the rest, and down by a fixed step.
	increase, decrease = 0.3, 0.04
	// maxShare leaves some connections, without which nothing would be measured.
	maxShare = 0.9
)

// Controller measures how long goroutines wait for the processor once their I/O is ready,
// and closes a share of new connections while there is a standing queue of them.
type Controller struct {
	now    func() time.Time
	random func() float64
	// Probe begins a measurement, whose result is passed to Observe. It is set before use,
	// is called while connections are accepted, and must not block; nil: not called.
	Probe func()
	// OnChange is called when the host begins or stops to close connections. It is set
	// before use and must not block; nil: not called.
	OnChange func(closes bool, shortest time.Duration)

	mu       sync.Mutex
	probedAt time.Time // when the probe began that has no result yet, or the last one
	probing  bool
	from     time.Time // start of the window
	offered  int       // new connections in it
	waits    int
	shortest time.Duration
	queued   bool    // there was a standing queue in the window before
	share    float64 // of new connections that are closed
}

// New returns a Controller that closes nothing yet; now and random may be nil.
func New(now func() time.Time, random func() float64) *Controller {
	if now == nil {
		now = time.Now
	}
	if random == nil {
		random = rand.Float64
	}
	return &Controller{now: now, random: random}
}

// Admit reports whether a new connection is served; the caller closes it otherwise.
func (c *Controller) Admit() bool {
	c.mu.Lock()
	now := c.now()
	c.endWindowLocked(now)
	c.offered++
	admitted := c.share == 0 || c.random() >= c.share
	probe := c.Probe != nil && !c.probing && now.Sub(c.probedAt) >= probeInterval
	if probe {
		c.probing, c.probedAt = true, now
	}
	c.mu.Unlock()
	if probe {
		c.Probe()
	}
	return admitted
}

// Observe records the result of a probe: how long a goroutine has waited.
func (c *Controller) Observe(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWindowLocked(c.now())
	c.probing = false
	c.recordLocked(wait)
}

func (c *Controller) recordLocked(wait time.Duration) {
	if c.waits == 0 || wait < c.shortest {
		c.shortest = wait
	}
	c.waits++
}

// endWindowLocked judges the window if it is over. The share changes only after a second
// window of the same kind, so that a single pause closes nothing.
func (c *Controller) endWindowLocked(now time.Time) {
	if now.Sub(c.from) < window {
		return
	}
	if c.probing && now.Sub(c.probedAt) > window { // it has waited that long by now
		c.recordLocked(now.Sub(c.probedAt))
	}
	queued := c.offered >= minOffered && c.waits > 0 && c.shortest > maxWait
	before, shortest := c.share, c.shortest
	switch {
	case queued && c.queued:
		c.share = min(c.share+increase*(1-c.share), maxShare)
	case !queued:
		c.share = max(c.share-decrease, 0)
	}
	c.from, c.offered, c.waits, c.queued = now, 0, 0, queued
	if c.OnChange != nil && (before == 0) != (c.share == 0) {
		c.OnChange(c.share > 0, shortest)
	}
}

// Share returns the share of new connections that are closed.
func (c *Controller) Share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share
}
