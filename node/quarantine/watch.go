// Package quarantine is a host's part in finding requests that end the upstreams
// that run them.
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
	// askWorkers bounds the questions to addresses at once, and askBound each of
	// them: one to a machine that is dark takes all of it, and a whole rack of those
	// must not keep others waiting.
	askWorkers = 16
	askBound   = 500 * time.Millisecond
	// asksMost bounds the upstreams whose end is to be found out. Far above those
	// that can end within a second.
	asksMost = 256
	// askAgain is when an address that did not refuse is asked once more: a
	// process that ends closes its connections and its listener one by one.
	askAgain = 100 * time.Millisecond
	// brokenKept is how long it is remembered what an upstream's end was asked
	// about: requests find it broken one after the other.
	brokenKept = 5 * time.Second
	// suspectsMost bounds what one host blames for one end: an engine's batch.
	suspectsMost = 128
)

// CrashDetectorDeps are what a Watch works with.
type CrashDetectorDeps struct {
	// Refuses says whether nothing listens at an address.
	NotListening func(ctx context.Context, address string) bool
	// Crash is told of an upstream that ended, when that was noticed, and what
	// this host had under way there; again for what is found later.
	OnCrash func(upstream string, at time.Time, ran []poison.Fingerprint)
	Log     *event.Log
	Metrics *metrics.Set
	Now     func() time.Time
}

// CrashDetector finds out whether an upstream ended when exchanges with it broke. A
// connection also breaks on the way, or by an upstream that goes on working.
type CrashDetector struct {
	deps CrashDetectorDeps
	asks chan string // upstreams

	mu     sync.Mutex
	broken map[string]*brokenUpstream // by upstream
}

// brokenUpstream is one with which exchanges broke.
type brokenUpstream struct {
	address  string
	at       time.Time
	ended    bool
	asked    bool // the question is answered
	suspects []poison.Fingerprint
}

// NewCrashDetector makes a Watch; Run makes it work.
func NewCrashDetector(d CrashDetectorDeps) *CrashDetector {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = event.NewLog(nil)
	}
	return &CrashDetector{deps: d, asks: make(chan string, asksMost), broken: map[string]*brokenUpstream{}}
}

// RecordBroken notes a request whose exchange with an upstream broke before its end.
// It does not wait.
func (w *CrashDetector) RecordBroken(upstream, address string, request poison.Fingerprint) {
	w.mu.Lock()
	now := w.deps.Now()
	w.forgetLocked(now)
	e := w.broken[upstream]
	if e == nil || e.asked && !e.ended {
		e = &brokenUpstream{address: address, at: now}
		select {
		case w.asks <- upstream:
			w.broken[upstream] = e
		default: // as many are being asked about as may be
		}
	}
	if len(e.suspects) < suspectsMost {
		e.suspects = append(e.suspects, request)
	}
	late, at := e.ended, e.at
	w.mu.Unlock()
	if late {
		w.tell(upstream, at, []poison.Fingerprint{request})
	}
}

// forgetLocked drops what is too old to hear of any more.
func (w *CrashDetector) forgetLocked(now time.Time) {
	for id, e := range w.broken {
		if e.asked && now.Sub(e.at) > brokenKept {
			delete(w.broken, id)
		}
	}
}

// Run asks addresses until ctx ends.
func (w *CrashDetector) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range askWorkers {
		workers.Go(func() { w.work(ctx) })
	}
	workers.Wait()
	return ctx.Err()
}

func (w *CrashDetector) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case upstream := <-w.asks:
			w.ask(ctx, upstream)
		}
	}
}

// ask finds out whether an upstream has ended.
func (w *CrashDetector) ask(ctx context.Context, upstream string) {
	w.mu.Lock()
	e := w.broken[upstream]
	w.mu.Unlock()
	ended := w.refuses(ctx, e.address)
	if !ended && pace.Sleep(ctx, askAgain) {
		ended = w.refuses(ctx, e.address)
	}
	w.mu.Lock()
	e.asked, e.ended = true, ended
	ran, at := slices.Clone(e.suspects), e.at
	w.mu.Unlock()
	if ended {
		w.deps.Metrics.Count(metrics.UpstreamsTerminated, 1)
		w.tell(upstream, at, ran)
	}
}

func (w *CrashDetector) refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	return w.deps.NotListening(ctx, address)
}

// tell passes on what ran on an upstream that ended.
func (w *CrashDetector) tell(upstream string, at time.Time, ran []poison.Fingerprint) {
	digests := make([]poison.Digest, len(ran))
	for i, m := range ran {
		digests[i] = m.Digest
	}
	w.deps.Log.Emit(event.UpstreamTerminated, zap.String(event.FieldPeer, upstream), zap.Stringers("under_way", digests),
		zap.Int64("age_ms", w.deps.Now().Sub(at).Milliseconds()))
	w.deps.OnCrash(upstream, at, ran)
}
