package coordinator

import (
	"context"
	"time"

	"peridotpier.example/node/lease"
	"peridotpier.example/node/pace"
)

const (
	// pollInterval is how often a host looks whether it is linked or holds the lease.
	pollInterval = 100 * time.Millisecond
	// searchInterval is how often a host that is linked to one without the lease asks
	// the others whether somebody has taken it: the store may turn just these
	// two away.
	searchInterval = time.Second
	// minTryInterval is the least time between two tries to reach the holder that the
	// lease names.
	minTryInterval = 300 * time.Millisecond
)

// Elector sees to it that some host holds the lease and that this one is linked
// to it. A linked host leaves the lease alone: looking at it costs calls.
type Elector struct {
	Lease *lease.Lease
	Link  *Link
	// Handicap is how long this host waits before it campaigns, so that one
	// with more to spare comes first; nil: not at all.
	CampaignDelay func() time.Duration
	// StoreAnswers says whether the store answered this host lately.
	StoreReachable func() bool

	yieldedAt time.Time // when this host last gave the lease up for another
}

// Run works until ctx ends.
func (d *Elector) Run(ctx context.Context) error {
	var searchedAt time.Time
	for ctx.Err() == nil {
		changed := d.Link.linkChanged.Next()
		if d.Link.Linked() {
			if d.Link.LinkedWithoutLease() && time.Since(searchedAt) > searchInterval {
				searchedAt = time.Now()
				d.Link.FindCoordinator(ctx)
			}
			pace.SleepOrWake(ctx, d.idleWait(), changed)
			continue
		}
		if d.Link.Candidate() || d.standBy(ctx) {
			d.campaign(ctx)
		}
	}
	return ctx.Err()
}

// idleWait is how long a linked host waits for a sign that it is not any more.
func (d *Elector) idleWait() time.Duration {
	if d.Link.linkedAddress() == "" { // it acts itself, without a lease
		return pollInterval
	}
	return idleInterval
}

const (
	// maxSearchTime is how long a host that should not run for the lease asks others who
	// holds it, before it runs all the same: those that should may all be gone.
	maxSearchTime = 3 * time.Second
	// maxSearchTimeSpare is the same for one that has enough to spare to act for all: the few
	// that each host knows at its start may have too little.
	maxSearchTimeSpare = 600 * time.Millisecond
	// yieldAfter is how long a host with too little to spare holds the lease before it
	// gives it up for one that has enough: its hosts have found it by then.
	yieldAfter = 5 * time.Second
	// minYieldInterval is the least time between two times that it does so: the others may
	// be those that the store turns away.
	minYieldInterval = time.Minute
)

// standBy asks others who holds the lease until this host is linked, and says
// no, until the lease is found to name this host itself, or until nobody was
// found though the store answered all the while. A lease that names this host
// is its former process's, which has ended, so that this one may take it at
// once: after a loss of all hosts nobody else could give orders before the
// former holder's time, and the time for its last orders to arrive, are over. The
// time while the store is away does not count: nobody can take the lease then,
// and at its return the first to write would, however little it has to spare.
func (d *Elector) standBy(ctx context.Context) bool {
	answered := time.Now()
	for pace.Sleep(ctx, pace.DefaultRand().Jitter(minTryInterval, reportJitter)) {
		if d.Link.Linked() || d.Link.FindCoordinator(ctx) {
			return false
		}
		if d.Link.takeNamedSelf() {
			return true
		}
		if !d.StoreReachable() {
			answered = time.Now()
		}
		if time.Since(answered) > d.searchTime() {
			return true
		}
	}
	return false
}

func (d *Elector) searchTime() time.Duration {
	if d.Link.HasSpareCapacity() {
		return maxSearchTimeSpare
	}
	return maxSearchTime
}

// linkedWithin waits for a time and says whether this host was linked meanwhile, or ctx
// has ended. One that waits for long looks who has taken the lease: the others ask it.
func (d *Elector) linkedWithin(ctx context.Context, wait time.Duration) bool {
	until := time.Now().Add(wait)
	for left := wait; left > minTryInterval; left = time.Until(until) {
		if d.Lease.Refresh(ctx) == nil && d.Link.TryLink(ctx, addressOf(d.Lease.LastObserved().Holder)) {
			return true
		}
		if !pace.Sleep(ctx, min(left, minTryInterval)) {
			return true
		}
	}
	return !pace.Sleep(ctx, max(time.Until(until), 0))
}

// campaign runs for the lease until this host has held and lost it, or is
// linked to the host that holds it.
func (d *Elector) campaign(ctx context.Context) {
	if d.CampaignDelay != nil && d.linkedWithin(ctx, pace.DefaultRand().Jitter(d.CampaignDelay(), 1)) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Lease.Run(ctx) // ends with ctx only
	}()
	d.awaitCoordinator(ctx)
	cancel()
	<-done // hands the lease over if it is held
}

// awaitCoordinator returns when this host is linked to another, when the store is away
// and this host should not be first at its return, or when ctx ends. While this
// host holds the lease itself it goes on, unless it has too little to spare and
// another has enough.
func (d *Elector) awaitCoordinator(ctx context.Context) {
	defer d.Link.own.stopActing()
	var tried, held time.Time
	for pace.Sleep(ctx, pollInterval) {
		if d.Link.own.HoldsLease() {
			if held.IsZero() {
				held = time.Now()
			}
			if time.Since(held) > yieldAfter && time.Since(d.yieldedAt) > minYieldInterval && d.Link.shouldYield() {
				d.yieldedAt = time.Now()
				return
			}
			continue
		}
		held = time.Time{}
		if !d.Link.Candidate() && !d.StoreReachable() && !d.Link.own.Acting() {
			return
		}
		if time.Since(tried) < minTryInterval {
			continue
		}
		tried = time.Now()
		if d.Link.TryLink(ctx, addressOf(d.Lease.LastObserved().Holder)) || d.Link.FindCoordinator(ctx) {
			return
		}
		d.updateActing(ctx)
	}
}

// updateActing has this host act without the lease while nobody can take it, if it is
// the one to do so. Without anybody who acts each host would decide by itself,
// and what an upstream takes from all, or a team may ask of all, would be shared
// out blindly.
func (d *Elector) updateActing(ctx context.Context) {
	switch own := d.Link.own; {
	case d.StoreReachable():
		own.stopActing()
	case !own.Acting() && d.Link.isFirstDeputy(ctx):
		own.startActing()
	}
}
