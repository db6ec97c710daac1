// Package quarantine is a host's part in finding requests that crash the upstreams
// that run them, and in barring such requests.
package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
)

const (
	// checkWorkers bounds the concurrent checks of addresses, and checkTimeout each
	// attempt to connect: one to an unreachable machine takes all of that time, and a
	// whole rack of such machines must not delay the checks of others.
	checkWorkers = 16
	checkTimeout = 500 * time.Millisecond
	// maxPendingChecks bounds the upstreams that wait for a check. It is far above
	// the number that can terminate within a second.
	maxPendingChecks = 256
	// recheckAfter is the delay before an address that still listens is checked once
	// more: a process that terminates closes its connections and its listener one by
	// one.
	recheckAfter = 100 * time.Millisecond
	// keepCheckedFor is how long the result of a check is kept: requests find an
	// upstream broken one after the other.
	keepCheckedFor = 5 * time.Second
	// maxSuspects bounds the requests that one host suspects of one crash: an
	// engine's batch.
	maxSuspects = 128
)

// Reasons for which a request is not suspected, as they are counted.
const (
	droppedForChecks   = "checks"   // maxPendingChecks upstreams wait for a check
	droppedForSuspects = "suspects" // maxSuspects requests ran at the upstream
)

// CrashDetectorDeps are the dependencies of a CrashDetector.
type CrashDetectorDeps struct {
	// NotListening reports whether nothing listens at an address.
	NotListening func(ctx context.Context, address string) bool
	// OnCrash is called for an upstream that terminated, with the time at which the
	// first broken exchange was recorded and the suspects of this host: requests that
	// were running there, and the parts of their prompts; it is called again for each request that is recorded later.
	OnCrash func(upstream string, at time.Time, ran []poison.Fingerprint)
	Log     *event.Log
	Metrics *metrics.Set
	Now     func() time.Time
}

// CrashDetector finds out whether an upstream terminated when exchanges with it
// broke. A connection can also break on the network, or be closed by an upstream
// that goes on working.
type CrashDetector struct {
	deps   CrashDetectorDeps
	checks chan string // names of upstreams to check

	mu     sync.Mutex
	broken map[string]*brokenUpstream // by upstream
}

// brokenUpstream is an upstream with which exchanges broke.
type brokenUpstream struct {
	address    string
	at         time.Time
	terminated bool
	checked    bool // the check has completed
	requests   int  // number of requests that were running there
	suspects   []poison.Fingerprint
}

// add adds the suspects of one request and returns those that are new. A part that
// several requests share is suspected once.
func (e *brokenUpstream) add(suspects []poison.Fingerprint) []poison.Fingerprint {
	var added []poison.Fingerprint
	for _, f := range suspects {
		if !f.IsPart() || !slices.Contains(e.suspects, f) {
			added = append(added, f)
		}
	}
	e.requests++
	e.suspects = append(e.suspects, added...)
	return added
}

// NewCrashDetector returns a CrashDetector; Run performs its checks.
func NewCrashDetector(d CrashDetectorDeps) *CrashDetector {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = event.NewLog(nil)
	}
	return &CrashDetector{deps: d, checks: make(chan string, maxPendingChecks), broken: map[string]*brokenUpstream{}}
}

// RecordBroken records the suspects of a request, sent at a time, whose exchange with an
// upstream broke before its end. It does not block.
func (d *CrashDetector) RecordBroken(upstream, address string, sentAt time.Time, suspects []poison.Fingerprint) {
	d.mu.Lock()
	now := d.deps.Now()
	d.removeOldLocked(now)
	e := d.broken[upstream]
	if e == nil || e.checked && (!e.terminated || sentAt.After(e.at)) { // sent since: another process is there, maybe under the same id
		e = &brokenUpstream{address: address, at: now}
		select {
		case d.checks <- upstream:
			d.broken[upstream] = e
		default: // this exchange is not followed up
			d.mu.Unlock()
			d.deps.Metrics.CountKind(metrics.SuspectsDropped, droppedForChecks, 1)
			return
		}
	}
	terminated, at := e.terminated, e.at
	switch {
	case e.requests < maxSuspects:
		suspects = e.add(suspects)
	case !terminated: // else it is reported by itself
		d.deps.Metrics.CountKind(metrics.SuspectsDropped, droppedForSuspects, 1)
	}
	d.mu.Unlock()
	if terminated {
		d.report(upstream, at, suspects)
	}
}

// removeOldLocked removes the results of checks that are older than keepCheckedFor.
func (d *CrashDetector) removeOldLocked(now time.Time) {
	for id, e := range d.broken {
		if e.checked && now.Sub(e.at) > keepCheckedFor {
			delete(d.broken, id)
		}
	}
}

// Run performs checks until ctx ends.
func (d *CrashDetector) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range checkWorkers {
		workers.Go(func() { d.work(ctx) })
	}
	workers.Wait()
	return ctx.Err()
}

func (d *CrashDetector) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case upstream := <-d.checks:
			d.check(ctx, upstream)
		}
	}
}

// check finds out whether an upstream has terminated.
func (d *CrashDetector) check(ctx context.Context, upstream string) {
	d.mu.Lock()
	e := d.broken[upstream]
	d.mu.Unlock()
	terminated := d.notListening(ctx, e.address)
	if !terminated && pace.Sleep(ctx, recheckAfter) {
		terminated = d.notListening(ctx, e.address)
	}
	d.mu.Lock()
	e.checked, e.terminated = true, terminated
	ran, at := slices.Clone(e.suspects), e.at
	d.mu.Unlock()
	if terminated {
		d.deps.Metrics.Count(metrics.UpstreamsTerminated, 1)
		d.report(upstream, at, ran)
	}
}

func (d *CrashDetector) notListening(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return d.deps.NotListening(ctx, address)
}

// report logs a terminated upstream and the requests that were running there, and passes
// them to OnCrash.
func (d *CrashDetector) report(upstream string, at time.Time, ran []poison.Fingerprint) {
	requests, parts := poison.DigestsOf(ran)
	d.deps.Log.Emit(event.UpstreamTerminated, zap.String(event.FieldPeer, upstream), zap.Stringers("under_way", requests), zap.Stringers("parts", parts),
		zap.Int64("age_ms", d.deps.Now().Sub(at).Milliseconds()))
	d.deps.OnCrash(upstream, at, ran)
}
