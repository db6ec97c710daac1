package link

import (
	"context"
	"time"

	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/lease"
	"peridotpier.example/node/pace"
)

const (
	// pollInterval is how often a host checks whether it is linked or holds the lease.
	pollInterval = 100 * time.Millisecond
	// searchInterval is how often a host that is linked to an acting coordinator
	// without the lease asks the others whether somebody has taken it: the store may be
	// refusing only these two.
	searchInterval = time.Second
	// minTryInterval is the minimum time between two attempts to reach the holder that
	// the lease names.
	minTryInterval = 300 * time.Millisecond
)

// Elector ensures that some host holds the lease and that this one is linked to it. A
// linked host does not query the lease: that would cost calls to the store.
type Elector struct {
	Lease *lease.Lease
	Link  *Link
	// CampaignDelay returns how long this host waits before it campaigns, so that a
	// host with more spare capacity comes first; nil: no delay.
	CampaignDelay func() time.Duration
	// StoreReachable reports whether the store answered this host recently.
	StoreReachable func() bool

	yieldedAt time.Time // when this host last gave up the lease for another one
}

// Run campaigns for the lease or keeps this host linked until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	var searchedAt time.Time
	for ctx.Err() == nil {
		changed := e.Link.linkChanged.Next()
		if e.Link.Linked() {
			if e.Link.LinkedWithoutLease() && time.Since(searchedAt) > searchInterval {
				searchedAt = time.Now()
				e.Link.FindCoordinator(ctx)
			}
			pace.SleepOrWake(ctx, e.idleWait(), changed)
			continue
		}
		if e.Link.Candidate() || e.standBy(ctx) {
			e.campaign(ctx)
		}
	}
	return ctx.Err()
}

// idleWait returns how long a linked host waits for a change before it checks its link
// again.
func (e *Elector) idleWait() time.Duration {
	if e.Link.linkedAddress() == "" { // this host is acting without a lease
		return pollInterval
	}
	return idleInterval
}

const (
	// maxSearchTime is how long a host that is not a candidate asks others for the
	// lease holder before it campaigns nevertheless: all candidates may be down.
	maxSearchTime = 3 * time.Second
	// maxSearchTimeSpare is the same for a host with enough spare capacity to
	// coordinate: the few hosts that a host knows at its start may have too little.
	maxSearchTimeSpare = 600 * time.Millisecond
	// yieldAfter is how long a host with too little spare capacity holds the lease
	// before it yields to one that has enough: by then its hosts have found that one.
	yieldAfter = 5 * time.Second
	// minYieldInterval is the minimum time between two yields: the store may be
	// refusing the other hosts.
	minYieldInterval = time.Minute
	// minPartitionedYieldInterval is the same for a holder that reaches no upstream: a
	// partition lasts some seconds, and orders wait for its end.
	minPartitionedYieldInterval = 5 * time.Second
	// partitionedCampaignDelay is how much longer a host that reaches no upstream waits
	// before it campaigns: in that time hosts that do have noticed that there is no holder.
	partitionedCampaignDelay = 1500 * time.Millisecond
)

// standBy asks others for the lease holder until this host is linked, and then returns
// false. It returns true when the lease is found to name this host itself, or when no
// holder was found although the store answered all the while. A lease that names this
// host belongs to its former process, which has terminated, so that this one may take
// it at once: after a loss of all hosts nobody else could give orders before the former
// holder's lease and the time in which its last orders may arrive are over. Time in
// which the store is unavailable does not count: nobody can take the lease then, and
// when the store returns the first to write would, however little spare capacity it
// has.
func (e *Elector) standBy(ctx context.Context) bool {
	answered := time.Now()
	for pace.Sleep(ctx, pace.DefaultRand().Jitter(minTryInterval, reportJitter)) {
		if e.Link.Linked() || e.Link.FindCoordinator(ctx) {
			return false
		}
		if e.Link.takeNamedSelf() {
			return true
		}
		if !e.StoreReachable() {
			answered = time.Now()
		}
		if time.Since(answered) > e.searchTime() {
			return true
		}
	}
	return false
}

func (e *Elector) searchTime() time.Duration {
	if e.Link.HasSpareCapacity() {
		return maxSearchTimeSpare
	}
	return maxSearchTime
}

// linkedWithin waits for a time and reports whether this host was linked meanwhile, or
// ctx has ended. During a long wait it checks who has taken the lease: other hosts ask
// this one.
func (e *Elector) linkedWithin(ctx context.Context, wait time.Duration) bool {
	until := time.Now().Add(wait)
	for left := wait; left > minTryInterval; left = time.Until(until) {
		if e.Lease.Refresh(ctx) == nil && e.Link.TryLink(ctx, wire.AddressOf(e.Lease.LastObserved().Holder)) {
			return true
		}
		if !pace.Sleep(ctx, min(left, minTryInterval)) {
			return true
		}
	}
	return !pace.Sleep(ctx, max(time.Until(until), 0))
}

// campaign campaigns for the lease until this host has held and lost it, or is linked
// to its holder.
func (e *Elector) campaign(ctx context.Context) {
	if e.Link.Partitioned() && e.linkedWithin(ctx, partitionedCampaignDelay) {
		return
	}
	if e.CampaignDelay != nil && e.linkedWithin(ctx, pace.DefaultRand().Jitter(e.CampaignDelay(), 1)) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Lease.Run(ctx) // returns only when ctx ends
	}()
	e.awaitCoordinator(ctx)
	cancel()
	<-done // releases the lease if it is held
}

// awaitCoordinator returns when this host is linked to another, when the store is
// unavailable and this host should not be first at its return, or when ctx ends. It
// goes on while this host holds the lease itself, unless this host has too little spare
// capacity and another has enough, or reaches no upstream and another does.
func (e *Elector) awaitCoordinator(ctx context.Context) {
	defer e.Link.own.StopActing()
	var tried, held time.Time
	for pace.Sleep(ctx, pollInterval) {
		if e.Link.own.HoldsLease() {
			if held.IsZero() {
				held = time.Now()
			}
			if e.mustYield(held) {
				e.yieldedAt = time.Now()
				return
			}
			continue
		}
		held = time.Time{}
		if !e.Link.Candidate() && !e.StoreReachable() && !e.Link.own.Acting() {
			return
		}
		if time.Since(tried) < minTryInterval {
			continue
		}
		tried = time.Now()
		if e.Link.TryLink(ctx, wire.AddressOf(e.Lease.LastObserved().Holder)) || e.Link.FindCoordinator(ctx) {
			return
		}
		e.updateActing(ctx)
	}
}

// mustYield reports whether this host, which has held the lease since held, gives it up
// for another one. While the store is unavailable nobody could take it.
func (e *Elector) mustYield(held time.Time) bool {
	if !e.StoreReachable() {
		return false
	}
	if time.Since(e.yieldedAt) > minPartitionedYieldInterval && e.Link.shouldYieldPartitioned() {
		return true
	}
	return time.Since(held) > yieldAfter && time.Since(e.yieldedAt) > minYieldInterval && e.Link.shouldYield()
}

// updateActing makes this host act without the lease while nobody can take it, if this
// host is the one that should. Without any acting coordinator each host would decide by
// itself, and the limits of upstreams and teams would be divided among the hosts
// without knowing their use.
func (e *Elector) updateActing(ctx context.Context) {
	switch own := e.Link.own; {
	case e.StoreReachable():
		own.StopActing()
	case !own.Acting() && e.Link.isFirstDeputy(ctx):
		own.StartActing()
	}
}
