package fleet

import (
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/core/reach"
	"peridotpier.example/node/event"
)

// Load is the work that was sent to an upstream and has not ended.
type Load struct {
	Requests            int
	PendingPromptTokens int // prompt tokens of requests whose first event has not arrived
	Tokens              int // prompt tokens and expected answer tokens
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.PendingPromptTokens + o.PendingPromptTokens, l.Tokens + o.Tokens}
}

// Negated returns the load that takes l out of a sum.
func (l Load) Negated() Load { return Load{-l.Requests, -l.PendingPromptTokens, -l.Tokens} }

// ReportedLoad is the load that an upstream stated on an answer.
type ReportedLoad struct {
	Running       int
	Waiting       int
	Slots         int
	CountsUnknown bool    // Running and Waiting were not stated, or cannot be read
	Slowdown      float64 // how long work takes on its machine at the moment, as a multiple of the usual time; 0: not stated
}

const (
	// reportedLoadTTL is how long the load that an upstream stated itself is used when
	// the other hosts' loads are not known.
	reportedLoadTTL = time.Second
	// announcedResidentsTTL is how long after their announcement residents take precedence
	// over the upstream's own description, which lags, also when the coordinator that
	// announced them is no longer connected.
	announcedResidentsTTL = 1500 * time.Millisecond
	// notResidentTTL is how long no request for a model is sent to an upstream which
	// answered that the model is not resident: about one of its heartbeats and the lag of
	// the list.
	notResidentTTL = 2 * time.Second
)

// answeringTime is how long after bytes of an answer an upstream counts as answering: longer
// than a call of a plain service takes, shorter than the time for which the list has the
// entry of a process that has ended.
const answeringTime = time.Second

// Entry is one process of an upstream as this host knows it. Its methods may be called
// from any goroutine.
type Entry struct {
	fleet *Fleet
	// These are fixed for a process; they are read without the lock.
	id, service, address, dataCentre string
	startedMs                        int64 // Unix milliseconds; 0: not stated

	mu              sync.Mutex
	desc            deploy.Upstream
	describedAt     time.Time
	listRevision    uint64 // revision of the list at which desc last changed
	draining        bool
	gone            bool      // its process has ended: another one has its place
	delisted        bool      // its entry was removed from the list
	relistPending   bool      // its entry is listed again, but may be that of a copy of the store
	useUntil        time.Time // end of the grace after the removal; zero: no grace
	delistedAt      time.Time
	health          health.Tracker
	answeredAt      time.Time // when it last began to answer, or went on with an answer
	own             Load
	othersPending   int       // prompt tokens of other hosts pending there when a permit was last granted
	othersPendingAt time.Time // when that was recorded
	reported        ReportedLoad
	reportedAt      time.Time
	speed           speedOfProcess
	sentSince       int                 // requests sent by this host since reportedAt
	signal          backpressure.Signal // combined signal of its answers, received here or at other hosts
	announcedSignal backpressure.Signal // signal after the last material change

	pacer              *backpressure.Pacer    // of this host while there is no coordinator
	room               *backpressure.Room     // of this host while there is no coordinator; nil: none is used
	roomSince          time.Time              // start of the time without coordinator that room is for
	pacerSince         time.Time              // start of the time without coordinator that pacer is for
	signalledAt        time.Time              // when its limit or drain state last changed
	signalSource       string                 // who received that change
	backoffUntil       time.Time              // until then the upstream accepts nothing from this host
	slowStart          backpressure.SlowStart // after a backoff
	announcedResidents []deploy.Resident
	announcedAt        time.Time
	announcedBy        uint64         // number of the coordinator that announced them; see coordinatorTerm
	loading            []LoadingModel // announced by the same coordinator
	indexedModels      []string       // models under which the fleet finds it
	forgotten          bool
	notResidentUntil   map[string]time.Time // by model and adapter
	promptCache        PromptCache
	movable            map[*Attempt]struct{} // attempts that can be retried elsewhere
	readers            []reader              // what waits for a sign of the process
}

// ID returns the ID of the upstream. Another process of it, started later, has another
// Entry.
func (e *Entry) ID() string { return e.id }

// Service returns the name of the service that it belongs to.
func (e *Entry) Service() string { return e.service }

// Address returns the address at which it listens.
func (e *Entry) Address() string { return e.address }

// StartedMs returns when its process started, in Unix milliseconds by its own clock; 0 if
// not stated.
func (e *Entry) StartedMs() int64 { return e.startedMs }

// Software returns the version of its software; "" if it is not known.
func (e *Entry) Software() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desc.Software
}

// DataCentre returns the data centre that it runs in.
func (e *Entry) DataCentre() string { return e.dataCentre }

// Description returns the upstream's latest description of itself and when it was
// received.
func (e *Entry) Description() (deploy.Upstream, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desc, e.describedAt
}

// Usable reports whether it may get new requests as far as drains and removals are
// concerned.
func (e *Entry) Usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// IsDown reports whether this host currently excludes it because its answers failed or it
// was unresponsive.
func (e *Entry) IsDown() bool { return e.isDownAt(e.fleet.deps.Now()) }

func (e *Entry) isDownAt(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDownLocked(now)
}

func (e *Entry) isDownLocked(now time.Time) bool {
	return !e.draining && e.health.Status(now) == health.Down
}

// refreshExcluded reports whether an excluded entry is still down. It takes an entry that
// is up again out of the set of excluded entries.
func (e *Entry) refreshExcluded(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.health.Status(now) == health.Up {
		e.fleet.excluded.remove(e)
	}
	return e.isDownLocked(now)
}

// listed returns what the store's list says of it, the revision of its last change, and
// whether its entry was removed.
func (e *Entry) listed() (u deploy.Upstream, revision uint64, delisted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desc, e.listRevision, e.delisted
}

// describe applies a description of the list and returns which hosts must receive the
// change.
func (e *Entry) describe(u deploy.Upstream, now time.Time, revision uint64) (scope changeScope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u.ID, u.Service, u.Address, u.DataCentre, u.Born = e.id, e.service, e.address, e.dataCentre, e.startedMs
	if e.desc.State == deploy.Draining && u.State != deploy.Draining && !e.describedAt.IsZero() {
		u.State, u.Remaining = deploy.Draining, e.desc.Remaining
		e.keepDrainingLocked(now)
	}
	if e.delisted && e.draining && u.State == deploy.Ready && !e.fleet.staleEntries.passed(now) {
		e.desc, e.relistPending = u, true
		return noChange
	}
	if e.delisted || e.describedAt.IsZero() || !reflect.DeepEqual(u, e.desc) { // a list that is read again is mostly unchanged
		e.listRevision, scope = revision, copiesChange
		if e.delisted || e.describedAt.IsZero() || !sameIdentity(u, e.desc) {
			scope = identityChange
		}
	}
	e.desc, e.describedAt = u, now
	e.reindexLocked()
	if e.delisted && u.State == deploy.Ready {
		e.relistLocked()
	}
	if u.State == deploy.Draining {
		e.drainLocked("its own word")
	}
	return scope
}

// changeScope is the set of hosts that must receive a change of an upstream's description.
type changeScope uint8

const (
	noChange       changeScope = iota
	copiesChange               // hosts that coordinate: its residents or local copies
	identityChange             // every host: its identity, or a drain
)

// sameIdentity reports whether two descriptions differ at most in the upstream's
// residents, its local copies and the time for which it still warms up.
func sameIdentity(a, b deploy.Upstream) bool {
	for _, u := range []*deploy.Upstream{&a, &b} {
		u.Residents, u.InMemory, u.OnDisk, u.Cold = nil, nil, nil, 0
	}
	return reflect.DeepEqual(a, b)
}

// markDelisted records that the upstream's entry was removed from the list. It returns
// false if that was known. During a grace the upstream is still used.
func (e *Entry) markDelisted(now time.Time, grace time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relistPending = false
	if e.delisted {
		return false
	}
	e.delisted, e.delistedAt = true, now
	e.fleet.scheduleChecks(e)
	if grace > 0 && !e.draining {
		e.useUntil = now.Add(grace)
		e.fleet.deps.Log.Emit(event.UpstreamMassRemoval, zap.String(event.FieldPeer, e.id), zap.Duration("used_for", grace))
		return true
	}
	e.drainLocked("entry removed")
	return true
}

// drainLocked takes the upstream out of use. Within one process this is undone only when
// an entry that had merely expired is listed again.
func (e *Entry) drainLocked(why string) {
	if e.draining {
		return
	}
	e.draining = true
	e.fleet.deps.Log.Emit(event.UpstreamDraining, zap.String(event.FieldPeer, e.id), zap.String("source", why))
}

// delistedTTL is how long a delisted upstream is remembered: its requests may still run,
// and its entry may be listed again.
const delistedTTL = 20 * time.Second

// checkResult is what the Fleet must do after the checks of an entry.
type checkResult uint8

const (
	keepEntry checkResult = iota
	forgetEntry
	relistEntry
)

// runChecks applies the effects of time.
func (e *Entry) runChecks(now time.Time) checkResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.signal.Limit.Stated || e.signal.Brittle.Stated {
		e.fleet.limits.extend(now.Add(limitTTL))
		e.noteBrittleLocked()
	}
	if e.delisted && !e.useUntil.IsZero() && now.After(e.useUntil) {
		e.useUntil = time.Time{}
		e.drainLocked("entry did not come back")
	}
	if e.health.IsUnresponsive(e.fleet.cfg.Health, now, e.readingTimeLocked(now)) {
		e.excludeSilentLocked(now)
	}
	if e.own.Requests == 0 && !e.delisted && !e.signal.Limit.Stated && !e.signal.Brittle.Stated {
		e.fleet.pendingChecks.remove(e)
	}
	switch {
	case e.relistPending && e.fleet.staleEntries.passed(now):
		return relistEntry
	case e.delisted && !e.relistPending && e.own.Requests == 0 && now.Sub(e.delistedAt) > delistedTTL:
		return forgetEntry
	}
	return keepEntry
}

// excludeSilentLocked excludes the upstream, from which nothing arrives, for a while.
func (e *Entry) excludeSilentLocked(now time.Time) {
	since := e.unresponsiveSinceLocked(now) // an exclusion forgets it
	if !e.recordExclusionLocked(e.health.ExcludeSilent(e.fleet.cfg.Health, now)) {
		return
	}
	e.abortMovableLocked(since)
	e.fleet.contact.failed(reach.Failure{Upstream: e.id, At: now, Kind: reach.Unanswered})
	e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, e.id), zap.String("why", "silent"), zap.Int("outstanding", e.own.Requests))
}

// unresponsiveSinceLocked returns since when the upstream, from which bytes are due, counts as
// unresponsive, or when it will.
func (e *Entry) unresponsiveSinceLocked(now time.Time) time.Time {
	return e.health.UnresponsiveSince(e.fleet.cfg.Health, e.readingTimeLocked(now))
}

// minReadTokensPerMs is the lowest rate at which an engine reads prompts, with a full
// batch: an engine that sends nothing for less time than its backlog takes is reading.
const minReadTokensPerMs = 10.0

// othersPendingTTL is how long prompts that were pending when a permit was granted may
// still be: a few times as long as an engine takes for the prompts that it is given.
const othersPendingTTL = 1500 * time.Millisecond

// readingTimeLocked returns for how long the pending prompts may keep it from sending
// bytes.
func (e *Entry) readingTimeLocked(now time.Time) time.Duration {
	waiting := e.loadLocked(now).PendingPromptTokens
	if now.Sub(e.othersPendingAt) < othersPendingTTL {
		waiting = max(waiting, e.own.PendingPromptTokens+e.othersPending)
	}
	return ReadingTime(waiting)
}

// ReadingTime returns how long an engine may take to read prompts, in which it sends nothing.
func ReadingTime(promptTokens int) time.Duration {
	return time.Duration(float64(promptTokens) / minReadTokensPerMs * float64(time.Millisecond))
}

// excludeFailing excludes the upstream, whose share of failed answers is too high, for a
// while. It reports whether it was not excluded before.
func (e *Entry) excludeFailing(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recordExclusionLocked(e.health.ExcludeFailing(e.fleet.cfg.Health, now))
}

// endExclusionForShare ends an exclusion for the share of failed answers, which is not too high
// any more.
func (e *Entry) endExclusionForShare(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.EndShare(now)
}

// excludeLocked excludes the upstream for a while and reports whether it was not excluded
// before.
func (e *Entry) excludeLocked(now time.Time) bool {
	return e.recordExclusionLocked(e.health.Exclude(e.fleet.cfg.Health, now))
}

// recordExclusionLocked records that the upstream is newly excluded, if changed is set, which
// it returns.
func (e *Entry) recordExclusionLocked(changed bool) bool {
	if changed {
		e.fleet.excluded.add(e)
		e.fleet.notifyUrgentChange()
	}
	return changed
}

// errorShare returns the share of its answers that failed; below 0 if it has too few
// answers or is draining.
func (e *Entry) errorShare(p health.Policy) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	share, answers := e.health.ErrorShare()
	if answers < float64(p.MinAnswers) || e.draining {
		return -1
	}
	return share
}

// loadLocked returns the best estimate of all hosts' load there.
func (e *Entry) loadLocked(now time.Time) Load {
	if others, known := e.fleet.otherHosts.at(e, now); known {
		return e.own.Plus(others)
	}
	total := e.own
	if now.Sub(e.reportedAt) < reportedLoadTTL {
		total.Requests = max(total.Requests, e.reported.Running+e.reported.Waiting+e.sentSince)
	}
	return total
}

// OwnLoad returns the load that this host has sent there.
func (e *Entry) OwnLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own
}

// MarkReplaced records that another process has the upstream's address.
func (e *Entry) MarkReplaced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	e.drainLocked("another process at its address")
}

// ExcludeMisdirected excludes the upstream for a while, since a process at its address answers
// that requests for it are not its own, and does not say who it is. While other requests are
// answered there it is the upstream itself that says so.
func (e *Entry) ExcludeMisdirected() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.fleet.deps.Now()
	if now.Sub(e.answeredAt) < answeringTime {
		return
	}
	if e.excludeLocked(now) {
		e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, e.id), zap.String("why", "misdirected"))
	}
}

// IsGone reports whether the process is known to have ended, since another one has its ID
// or its address. What was sent to it runs no longer.
func (e *Entry) IsGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// markSuperseded records that the upstream has started again, as another process. What
// was sent to this one is lost; attempts that can be retried elsewhere are aborted.
func (e *Entry) markSuperseded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	e.drainLocked("started again")
	e.abortMovableLocked(e.fleet.deps.Now())
}

// abortMovableLocked aborts the attempts there that can be retried elsewhere, and tells them
// since when the upstream counts as unresponsive.
func (e *Entry) abortMovableLocked(since time.Time) {
	for x := range e.movable {
		x.abort(since)
	}
}

// processOrder is the order of the process of a description and the process of an entry.
type processOrder uint8

const (
	sameProcess processOrder = iota
	earlierProcess
	laterProcess
)

// compareProcess compares a description's process start with this entry's. A description
// without a start is of the known process.
func (e *Entry) compareProcess(startedMs int64) processOrder {
	switch {
	case startedMs == 0 || startedMs == e.startedMs:
		return sameProcess
	case startedMs < e.startedMs:
		return earlierProcess
	default:
		return laterProcess
	}
}

// Request holds the properties of a request on which an upstream's snapshot depends.
type Request struct {
	Model       string
	Adapter     string
	PromptParts []PromptPart
}

// Endpoint returns a snapshot of the upstream for one pick.
func (e *Entry) Endpoint(req *Request, now time.Time) balance.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loadLocked(now)
	out := balance.Endpoint{ID: e.id, Address: e.desc.Address, Software: e.desc.Software, Slots: e.desc.Slots, SameDataCentre: e.dataCentre == e.fleet.cfg.DataCentre,
		Draining: e.draining, InFlight: load.Requests, PendingPromptTokens: load.PendingPromptTokens, InFlightTokens: load.Tokens, Slowdown: e.speed.at(now)}
	switch e.health.Status(now) {
	case health.Down:
		out.Down = true
	case health.HalfOpen:
		out.HalfOpen, out.ProbeInFlight = true, e.health.IsAwaitingBytes()
	}
	if !out.SameDataCentre {
		out.RemoteMs = e.fleet.remoteRoundTrip().Seconds() * 1000
	}
	out.Backoff = e.backoffLocked(now)
	if e.desc.Cold > 0 {
		out.WarmupRemaining = max(e.desc.Cold-now.Sub(e.describedAt), 0)
	}
	if req.Model != "" {
		out.ModelResident = e.hasResidentLocked(req.Model, "", now)
	}
	if out.ModelResident { // the other fields are of no use for an upstream that cannot get the request
		out.AdapterResident = req.Adapter == "" || e.hasResidentLocked(req.Model, req.Adapter, now)
		out.CachedTokens = e.promptCache.CachedTokens(req, now)
	}
	return out
}
