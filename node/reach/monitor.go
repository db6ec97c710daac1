// Package reach notices that this host is partitioned from all upstreams, and when it no
// longer is.
package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	decide "peridotpier.example/core/reach"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
)

const (
	// checkInterval is how often evidence is checked while there is any: a fraction of the
	// silence that counts.
	checkInterval = 50 * time.Millisecond
	// idleInterval is the same while no request is outstanding and none has failed.
	idleInterval = 500 * time.Millisecond
	// confirmSample is how many upstreams have to refuse to confirm a suspicion: enough
	// that a host which reaches half of them is rarely taken for a partitioned one.
	confirmSample = 6
	// confirmTimeout bounds the trials of a suspicion: many round trips.
	confirmTimeout = 300 * time.Millisecond
	// endSample is how many trials are made in each endInterval during a
	// partition, and endTimeout bounds them. The end is noticed within two intervals.
	// Trials that must be answered have confirmTimeout: an upstream that is slow to answer
	// would refute a suspicion, and must also end a partition.
	endSample   = 2
	endInterval = 200 * time.Millisecond
	endTimeout  = 150 * time.Millisecond
	// maxPause is how much longer than intended a wait may take: after more, this process
	// was paused, and what it observed meanwhile is its own silence.
	maxPause = 150 * time.Millisecond
)

// Deps are the dependencies of a Monitor.
type Deps struct {
	Fleet *fleet.Fleet
	// Accepts reports whether an address accepts a connection until ctx ends.
	Accepts func(ctx context.Context, address string) bool
	// Answers reports whether the upstream at an address answers, until ctx ends, a request
	// that is no work for it. It is used where connections open and no byte arrives.
	Answers func(ctx context.Context, address string) bool
	// OnChange is called when a partition begins (true) and when it ends (false).
	OnChange func(partitioned bool)
	Log      *event.Log
	Metrics  *metrics.Set
	Now      func() time.Time
}

// Status is what the Monitor knows.
type Status struct {
	State decide.State
	Cause decide.Cause
	Since time.Time // when the partition began; zero: there is none
}

// Monitor follows whether this host reaches any upstream.
type Monitor struct {
	deps Deps

	mu       sync.Mutex
	detector *decide.Detector
	dials    int // trials since the last suspicion

	confirmedAt time.Time // when the last suspicion was confirmed or refuted

	onBegin []func() // called when a partition begins
}

// NewMonitor returns a Monitor; Run does its work.
func NewMonitor(d Deps) *Monitor {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = event.NewLog(nil)
	}
	if d.Metrics == nil {
		d.Metrics = metrics.New()
	}
	if d.OnChange == nil {
		d.OnChange = func(bool) {}
	}
	m := &Monitor{deps: d, detector: decide.NewDetector(decide.DefaultPolicy)}
	d.Metrics.SetFunc(metrics.Partitioned, func() any { return m.Partitioned() })
	return m
}

// OnBegin registers f, which is called when a partition begins, and again and again until
// it ends. It is used before Run.
func (m *Monitor) OnBegin(f func()) { m.onBegin = append(m.onBegin, f) }

// Partitioned reports whether this host reaches no upstream.
func (m *Monitor) Partitioned() bool { return m.state() == decide.Partitioned }

// partitionedBySilence reports whether this host is partitioned and nothing but silence shows it.
func (m *Monitor) partitionedBySilence() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State() == decide.Partitioned && m.detector.AnswersNeeded()
}

// Status returns what is known.
func (m *Monitor) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Status{State: m.detector.State()}
	if out.State == decide.Partitioned {
		out.Cause, out.Since = m.detector.Cause(), m.detector.Since()
	}
	return out
}

func (m *Monitor) state() decide.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State()
}

// Run follows the evidence until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		switch m.state() {
		case decide.Reachable:
			m.wait(ctx)
			m.observe()
		case decide.Suspected:
			m.confirm(ctx)
		case decide.Partitioned:
			m.tryEnd(ctx)
		}
	}
	return ctx.Err()
}

// wait waits until the evidence is to be checked.
func (m *Monitor) wait(ctx context.Context) {
	began, interval := m.deps.Now(), checkInterval
	wake := m.deps.Fleet.ChecksNeeded()
	if m.deps.Fleet.HasPendingChecks() || m.deps.Fleet.FailureCount() > 0 {
		wake = nil
	} else {
		interval = idleInterval
	}
	if !pace.SleepOrWake(ctx, interval, wake) {
		return
	}
	if now := m.deps.Now(); now.Sub(began) > interval+maxPause {
		m.mu.Lock()
		m.detector.Disregard(now)
		m.mu.Unlock()
	}
}

// observe applies the evidence of this host's requests.
func (m *Monitor) observe() {
	f, now := m.deps.Fleet, m.deps.Now()
	m.mu.Lock()
	quiet := m.detector.Quiet(f.LastReceived(), f.FailureCount(), now)
	m.mu.Unlock()
	if quiet {
		return
	}
	e := f.ReachEvidence()
	m.mu.Lock()
	m.dials = 0
	suspected := m.detector.Observe(e, now) == decide.Suspected
	cause := m.detector.Cause()
	m.mu.Unlock()
	if !suspected {
		return
	}
	f.DoubtOwnEvidence(true)
	m.deps.Metrics.Count(metrics.PartitionSuspicions, 1)
	m.deps.Log.Emit(event.PartitionSuspected, zap.String("cause", string(cause)), zap.Int("failures", len(e.Failures)),
		zap.Int("silent", len(e.Silences)), zap.Int64("quiet_ms", now.Sub(e.LastReceived).Milliseconds()))
}

// confirm makes trials, which confirm or refute a suspicion.
func (m *Monitor) confirm(ctx context.Context) {
	began := m.deps.Now()
	round := m.try(ctx, confirmSample, confirmTimeout)
	now := m.deps.Now()
	if ctx.Err() != nil || now.Sub(began) > confirmTimeout+maxPause && !anyAccepted(round) {
		return // this process was paused: the dials may have ended with it
	}
	m.mu.Lock()
	m.detector.Received(m.deps.Fleet.LastReceived(), now)
	state, cause, since, dials := m.detector.Judge(round, now), m.detector.Cause(), m.detector.Since(), m.dials
	mute := m.detector.AnswersNeeded()
	m.confirmedAt = now
	m.mu.Unlock()
	if state != decide.Partitioned {
		m.deps.Fleet.DoubtOwnEvidence(false)
		m.deps.Log.Emit(event.PartitionRefuted, zap.Int("dials", dials), zap.Int("accepted", countAccepted(round)))
		return
	}
	m.deps.Metrics.Count(metrics.Partitions, 1)
	m.deps.Log.Emit(event.PartitionBegan, zap.String("cause", string(cause)), zap.Bool("mute", mute), zap.Int64("since_ms", now.Sub(since).Milliseconds()), zap.Int("dials", dials))
	m.deps.OnChange(true)
	openWork := m.opensNothingNew() // then what was sent on open connections may still be answered
	if openWork {
		m.deps.Fleet.ForgetFailures()
	}
	m.callOnBegin()
	if !openWork {
		m.deps.Fleet.AbortSilent()
	}
	m.deps.Fleet.NotifyChanged() // requests that wait for an upstream can take another way
}

func (m *Monitor) callOnBegin() {
	for _, f := range m.onBegin {
		f()
	}
}

// opensNothingNew reports whether this host is partitioned in that no new connection opens,
// though open ones work: bytes arrived on them when it was noticed, or have since.
func (m *Monitor) opensNothingNew() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State() == decide.Partitioned &&
		(m.detector.Cause() == decide.ByDials || m.deps.Fleet.LastReceived().After(m.confirmedAt))
}

// tryEnd makes a few trials to notice the end of a partition.
func (m *Monitor) tryEnd(ctx context.Context) {
	began := m.deps.Now()
	round := m.try(ctx, endSample, m.endTimeout())
	now := m.deps.Now()
	e := m.deps.Fleet.ReachEvidence()
	m.mu.Lock()
	m.detector.Observe(e, now) // the number of upstreams may have changed
	since := m.detector.Since()
	received := m.detector.Received(m.deps.Fleet.LastReceived(), now) != decide.Partitioned
	over := m.detector.Judge(round, now) != decide.Partitioned
	m.mu.Unlock()
	if !over {
		m.callOnBegin()
		received = m.receivesWithin(ctx, endInterval-now.Sub(began))
	}
	if over || received {
		m.end(m.deps.Now().Sub(since), received)
	}
}

// receivesWithin waits, and reports whether bytes arrive meanwhile that end the partition.
func (m *Monitor) receivesWithin(ctx context.Context, wait time.Duration) bool {
	for until := m.deps.Now().Add(wait); ; {
		left := until.Sub(m.deps.Now())
		if left <= 0 || !pace.Sleep(ctx, min(left, checkInterval)) {
			return false
		}
		m.mu.Lock()
		state := m.detector.Received(m.deps.Fleet.LastReceived(), m.deps.Now())
		m.mu.Unlock()
		if state != decide.Partitioned {
			return true
		}
	}
}

// end applies that a partition is over, by bytes that were received or by trials.
func (m *Monitor) end(after time.Duration, received bool) {
	m.mu.Lock()
	dials := m.dials
	m.mu.Unlock()
	m.deps.Fleet.ForgetFailures()
	m.deps.Fleet.DoubtOwnEvidence(false)
	m.deps.Log.Emit(event.PartitionEnded, zap.Duration("after", after), zap.Int("dials", dials), zap.Bool("received", received))
	m.deps.OnChange(false)
}

// try makes trials at a sample of the upstreams, all at once.
func (m *Monitor) try(ctx context.Context, n int, timeout time.Duration) []decide.Trial {
	m.mu.Lock()
	first := m.detector.Accepting()
	trial := m.deps.Accepts
	if m.detector.AnswersNeeded() {
		trial = m.deps.Answers
	}
	m.mu.Unlock()
	all := m.deps.Fleet.TrialCandidates()
	if len(first) >= n {
		first = nil // there has to be a place for another
	}
	sample := decide.Sample(all, first, n, rand.IntN)
	round := m.dial(ctx, sample, timeout, trial)
	m.mu.Lock()
	m.dials += len(round)
	m.mu.Unlock()
	return round
}

// endTimeout returns the bound of trials during a partition.
func (m *Monitor) endTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.AnswersNeeded() {
		return confirmTimeout
	}
	return endTimeout
}

func (m *Monitor) dial(ctx context.Context, sample []decide.Candidate, timeout time.Duration, trial func(ctx context.Context, address string) bool) []decide.Trial {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.deps.Metrics.Count(metrics.TrialConnections, int64(len(sample)))
	round := make([]decide.Trial, len(sample))
	var dials sync.WaitGroup
	for i, c := range sample {
		dials.Go(func() { round[i] = decide.Trial{Upstream: c.ID, Accepted: trial(ctx, c.Address)} })
	}
	dials.Wait()
	return round
}

func countAccepted(round []decide.Trial) (n int) {
	for _, t := range round {
		if t.Accepted {
			n++
		}
	}
	return n
}

func anyAccepted(round []decide.Trial) bool { return countAccepted(round) > 0 }

// minWitnesses is how many other upstreams must refuse, so that one that refuses does not
// count as crashed. Fewer may have crashed together.
const minWitnesses = 3

// MayBeOwnPath reports whether an upstream that refuses connections may be running and
// this host be partitioned: several others accept none either.
func (m *Monitor) MayBeOwnPath(ctx context.Context, address string) bool {
	if m.Partitioned() {
		return true
	}
	var others []decide.Candidate
	for _, c := range m.deps.Fleet.TrialCandidates() {
		if c.Address != address {
			others = append(others, c)
		}
	}
	round := m.dial(ctx, decide.Sample(others, nil, minWitnesses, rand.IntN), confirmTimeout, m.deps.Accepts)
	return len(round) >= minWitnesses && !anyAccepted(round)
}

// Detour is the way to the upstreams through other hosts.
type Detour struct {
	Monitor   *Monitor
	Addresses func() []string // where other hosts forward requests, in order of preference
}

// Needed reports whether this host reaches no upstream. Where only no new connection opens
// and no other host is known, requests use the connections that are open.
func (d Detour) Needed() bool {
	return d.Monitor.Partitioned() && (!d.Monitor.opensNothingNew() || len(d.Addresses()) > 0)
}

// BySilence reports whether a partition is concluded from silence alone: connections open,
// or may, and nothing arrives on them.
func (d Detour) BySilence() bool { return d.Monitor.partitionedBySilence() }

// Hosts returns the addresses at which other hosts forward requests, in order of
// preference.
func (d Detour) Hosts() []string { return d.Addresses() }

// OnNeeded registers f, which is called when the way has become needed, also later than the
// partition began, and again while it is. It is used before Run.
func (d Detour) OnNeeded(f func()) {
	d.Monitor.OnBegin(func() {
		if d.Needed() {
			f()
		}
	})
}
