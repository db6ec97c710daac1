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
	// increase and decrease are how the closed share of new connections changes for each
	// window's length of a standing queue, or without one: towards 1 by a part of the rest,
	// and down by a fixed step.
	increase, decrease = 0.3, 0.04
	// maxIncreases bounds the increases at once. A host that is far behind accepts in bursts,
	// and the wait behind one is as long as several windows.
	maxIncreases = 4
	// A host with a standing queue accepts nothing while it serves a burst, with no probe under
	// way once the last one has returned. If that takes longer than gapOfWait times the
	// last wait, or than maxGap, the host counts as idle.
	gapOfWait = 10
	maxGap    = 5 * time.Second
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
	from     time.Time     // start of the window
	seenAt   time.Time     // of the last connection or result of a probe
	gap      time.Duration // before the window, in which nothing came
	offered  int           // new connections in it
	waits    int
	shortest time.Duration
	carried  bool    // the window began with a probe under way that waits behind many connections
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
	c.advanceLocked(now)
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

// Observe records the result of a probe: how long a goroutine has waited. The wait belongs
// to the window of the connections that it waited behind, which ends after it.
func (c *Controller) Observe(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.seenAt = now // the wait itself is no idle time
	c.probing = false
	c.recordLocked(wait)
	c.advanceLocked(now)
}

func (c *Controller) recordLocked(wait time.Duration) {
	if c.waits == 0 || wait < c.shortest {
		c.shortest = wait
	}
	c.waits++
}

// advanceLocked judges the window if it is over, and ends a spell of windows with a standing
// queue if nothing came for too long.
func (c *Controller) advanceLocked(now time.Time) {
	idle := now.Sub(c.seenAt)
	c.seenAt = now
	if now.Sub(c.from) < window {
		return
	}
	if lost := now.Sub(c.probedAt); c.probing && lost > maxGap {
		c.probing = false
		c.recordLocked(lost) // it has waited for so long at least
	}
	if c.probing {
		wait := now.Sub(c.probedAt) // by now
		if c.waits == 0 && wait <= maxWait {
			return // nothing is known of the window yet
		}
		if wait > maxWait {
			c.recordLocked(wait)
		}
		idle = 0
	}
	before, shortest := c.share, c.shortest
	c.judgeLocked(now.Sub(c.from))
	if idle > max(window, min(gapOfWait*c.shortest, maxGap)) {
		c.queued = false
		c.decreaseLocked(idle)
	}
	c.carried = c.probing && (c.offered >= minOffered || c.carried && c.probedAt.Before(c.from))
	c.from, c.gap, c.offered, c.waits = now, idle, 0, 0
	if c.OnChange != nil && (before == 0) != (c.share == 0) {
		c.OnChange(c.share > 0, shortest)
	}
}

// judgeLocked changes the share by what a window shows. It rises only after a second window
// with a standing queue, so that a single pause closes nothing. A window without connections
// shows nothing: the host may be about to accept all that came meanwhile.
func (c *Controller) judgeLocked(lasted time.Duration) {
	waited := c.waits > 0 && c.shortest > maxWait
	if c.carried && c.offered < minOffered && waited { // behind connections of a window before
		if c.share > 0 && c.queued {
			c.increaseLocked(min(c.shortest, lasted))
		}
		return
	}
	if c.offered == 0 {
		return
	}
	queued := waited && float64(c.offered) >= c.enoughLocked()
	switch {
	case queued && c.queued:
		c.increaseLocked(min(c.shortest, lasted))
	case !queued:
		c.decreaseLocked(window)
	}
	c.queued = queued
}

// enoughLocked returns the number of connections from which a window is one with a standing
// queue. Within a spell it counts the time before the window, too: a few connections now and then
// are not what the processor is busy with, however long they wait.
func (c *Controller) enoughLocked() float64 {
	if !c.queued {
		return minOffered
	}
	return minOffered * max(c.gap.Seconds()/window.Seconds(), 1)
}

// increaseLocked raises the share for a window in which all waited for at least so long.
func (c *Controller) increaseLocked(waited time.Duration) {
	for range min(max(int(waited/window), 1), maxIncreases) {
		c.share = min(c.share+increase*(1-c.share), maxShare)
	}
}

// decreaseLocked lowers the share for a time without a standing queue.
func (c *Controller) decreaseLocked(lasted time.Duration) {
	c.share = max(c.share-decrease*lasted.Seconds()/window.Seconds(), 0)
}

// Share returns the share of new connections that are closed.
func (c *Controller) Share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share
}
