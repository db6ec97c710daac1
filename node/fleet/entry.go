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
	"peridotpier.example/node/event"
)

// Load is what was sent to an upstream and has not ended.
type Load struct {
	Requests            int
	PendingPromptTokens int // prompt tokens whose first event has not come
	Tokens              int // prompt and expected answer
}

// Plus is the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.PendingPromptTokens + o.PendingPromptTokens, l.Tokens + o.Tokens}
}

// Negated is what takes a load out of a sum.
func (l Load) Negated() Load { return Load{-l.Requests, -l.PendingPromptTokens, -l.Tokens} }

// ReportedLoad is the load that an upstream told on an answer.
type ReportedLoad struct {
	Running int
	Waiting int
	Slots   int
}

const (
	// reportedLoadTTL is how long an upstream's own word on its load counts when
	// the other hosts' loads are not known.
	reportedLoadTTL = time.Second
	// announcedResidentsTTL is how long the word of a host that gave orders goes before
	// the upstream's own description, which lags, once that host is not heard.
	announcedResidentsTTL = 1500 * time.Millisecond
	// notResidentTTL is how long a model is not asked for again at an upstream that
	// said it does not hold it: about one of its heartbeats and the lag of the list.
	notResidentTTL = 2 * time.Second
)

// Entry is one upstream. Its methods may be called from any goroutine.
type Entry struct {
	fleet *Fleet
	// One process keeps these for its life; they are read without the lock.
	id, service, address, dataCentre string
	startedMs                        int64 // Unix milliseconds; 0: not said

	mu              sync.Mutex
	desc            deploy.Upstream
	describedAt     time.Time
	listRevision    uint64 // of the list when it was described
	draining        bool
	delisted        bool      // its entry vanished
	useUntil        time.Time // of one that vanished with others
	delistedAt      time.Time
	health          health.Tracker
	own             Load
	othersPending   int       // prompt tokens of the others' that were to be read there when a turn was given
	othersPendingAt time.Time // when it was
	reported        ReportedLoad
	reportedAt      time.Time
	sentSince       int                 // own sends since reportedAt
	signal          backpressure.Signal // the newest that its answers said, here or at other hosts
	announcedSignal backpressure.Signal // as others were told last

	pacer              *backpressure.Pacer    // of this host while nobody counts for all
	pacerSince         time.Time              // since when it is of
	signalledAt        time.Time              // when its limit or its leaving was heard of
	signalSource       string                 // who heard it
	backoffUntil       time.Time              // until when the upstream wants nothing from this host
	slowStart          backpressure.SlowStart // after its rest
	announcedResidents []deploy.Resident
	announcedAt        time.Time
	announcedBy        uint64         // whose word that is; see word
	loading            []LoadingModel // by the same word
	indexedModels      []string       // models under which the fleet finds it
	forgotten          bool
	notResidentUntil   map[string]time.Time // model and adapter, until when
	promptCache        PromptCache
	movable            map[*Attempt]struct{} // attempts that can go elsewhere
}

// ID names the upstream. Another process of it, started later, is another Entry.
func (e *Entry) ID() string { return e.id }

// Service names the service that it belongs to.
func (e *Entry) Service() string { return e.service }

// Address is where it listens.
func (e *Entry) Address() string { return e.address }

// StartedMs is when its process began, in Unix milliseconds by its own clock; 0: not said.
func (e *Entry) StartedMs() int64 { return e.startedMs }

// DataCentre is where it runs.
func (e *Entry) DataCentre() string { return e.dataCentre }

// Description returns the upstream's newest description of itself and when it came.
func (e *Entry) Description() (deploy.Upstream, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desc, e.describedAt
}

// Usable says whether it may get new work, as far as it has told.
func (e *Entry) Usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining
}

// IsDown says whether this host leaves it alone now for what its answers, or its
// silence, showed.
func (e *Entry) IsDown() bool { return e.isDownAt(e.fleet.deps.Now()) }

func (e *Entry) isDownAt(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDownLocked(now)
}

func (e *Entry) isDownLocked(now time.Time) bool {
	return !e.draining && e.health.Status(now) == health.Down
}

// refreshExcluded is down for one that was left alone; it takes an entry that answers again
// out of those.
func (e *Entry) refreshExcluded(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.health.Status(now) == health.Up {
		e.fleet.excluded.remove(e)
	}
	return e.isDownLocked(now)
}

// listed is what the platform's list says of it, and since which state.
func (e *Entry) listed() (u deploy.Upstream, revision uint64, delisted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desc, e.listRevision, e.delisted
}

// describe takes what the list says; it says what of that is news.
func (e *Entry) describe(u deploy.Upstream, now time.Time, revision uint64) (scope changeScope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u.ID, u.Service, u.Address, u.DataCentre, u.Born = e.id, e.service, e.address, e.dataCentre, e.startedMs
	if e.delisted || e.describedAt.IsZero() || !reflect.DeepEqual(u, e.desc) { // a list that was read anew brings mostly what is known
		e.listRevision, scope = revision, copiesChange
		if e.delisted || e.describedAt.IsZero() || !sameIdentity(u, e.desc) {
			scope = identityChange
		}
	}
	e.desc, e.describedAt = u, now
	e.reindexLocked()
	if e.delisted && u.State == deploy.Ready {
		e.delisted, e.draining, e.useUntil = false, e.signal.Draining, time.Time{} // what its process said itself stays
		e.fleet.deps.Log.Emit(event.UpstreamBack, zap.String(event.FieldPeer, u.ID))
	}
	if u.State == deploy.Draining {
		e.drainLocked("its own word")
	}
	return scope
}

// changeScope says who needs to hear what the list says of an upstream.
type changeScope uint8

const (
	noChange       changeScope = iota
	copiesChange               // those that give orders: what it holds, or has copies of
	identityChange             // every host: who it is, and whether it leaves
)

// sameIdentity says whether two descriptions differ at most in what the upstream
// holds or has copies of, and in how long it is slow yet.
func sameIdentity(a, b deploy.Upstream) bool {
	for _, u := range []*deploy.Upstream{&a, &b} {
		u.Residents, u.InMemory, u.OnDisk, u.Cold = nil, nil, nil, 0
	}
	return reflect.DeepEqual(a, b)
}

// markDelisted notes that its entry is gone; it says no if that was known.
func (e *Entry) markDelisted(now time.Time, grace time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.delisted {
		return false
	}
	e.delisted, e.delistedAt = true, now
	e.fleet.scheduleChecks(e)
	if grace > 0 && !e.draining {
		e.useUntil = now.Add(grace)
		e.fleet.deps.Log.Emit(event.UpstreamLapsed, zap.String(event.FieldPeer, e.id), zap.Duration("used_for", grace))
		return true
	}
	e.drainLocked("entry removed")
	return true
}

// drainLocked takes the upstream out of use. Within one process this is undone
// only when an entry that had merely run out comes back.
func (e *Entry) drainLocked(why string) {
	if e.draining {
		return
	}
	e.draining = true
	e.fleet.deps.Log.Emit(event.UpstreamLeaving, zap.String(event.FieldPeer, e.id), zap.String("source", why))
}

// delistedTTL is how long a vanished upstream is remembered: its requests may
// still run, and its entry may come back.
const delistedTTL = 20 * time.Second

// runChecks does what time brings; it says whether the upstream can be forgotten.
func (e *Entry) runChecks(now time.Time) (forget bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.signal.Limit.Stated {
		e.fleet.limits.extend(now.Add(limitTTL))
	}
	if e.delisted && !e.useUntil.IsZero() && now.After(e.useUntil) {
		e.useUntil = time.Time{}
		e.drainLocked("entry did not come back")
	}
	if e.health.IsUnresponsive(e.fleet.cfg.Health, now, e.readingTimeLocked(now)) && e.excludeLocked(now) {
		e.abortMovableLocked()
		e.fleet.deps.Log.Emit(event.UpstreamResting, zap.String(event.FieldPeer, e.id), zap.String("why", "silent"), zap.Int("outstanding", e.own.Requests))
	}
	if e.own.Requests == 0 && !e.delisted && !e.signal.Limit.Stated {
		e.fleet.pendingChecks.remove(e)
	}
	return e.delisted && e.own.Requests == 0 && now.Sub(e.delistedAt) > delistedTTL
}

// minReadTokensPerMs is the slowest that an engine reads prompts, with a full
// batch: an engine that is silent for less than its backlog takes is reading.
const minReadTokensPerMs = 10.0

// othersPendingTTL is how long the prompts that were to be read there when a turn was given
// may still be: a few times what an engine is given to read.
const othersPendingTTL = 1500 * time.Millisecond

// readingTimeLocked is how long the prompts that wait there may keep it silent.
func (e *Entry) readingTimeLocked(now time.Time) time.Duration {
	waiting := e.loadLocked(now).PendingPromptTokens
	if now.Sub(e.othersPendingAt) < othersPendingTTL {
		waiting = max(waiting, e.own.PendingPromptTokens+e.othersPending)
	}
	return time.Duration(float64(waiting) / minReadTokensPerMs * float64(time.Millisecond))
}

// exclude leaves the upstream alone for a while; it says whether that is news.
func (e *Entry) exclude(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.excludeLocked(now)
}

// excludeLocked leaves the upstream alone for a while; it says whether that is news.
func (e *Entry) excludeLocked(now time.Time) bool {
	changed := e.health.Exclude(e.fleet.cfg.Health, now)
	e.recordExclusionLocked(changed)
	return changed
}

// recordExclusionLocked notes that the upstream is left alone.
func (e *Entry) recordExclusionLocked(changed bool) {
	if !changed {
		return
	}
	e.fleet.excluded.add(e)
	e.fleet.notifyUrgentChange()
}

// errorShare is the share of its answers that failed; below 0: too few answers.
func (e *Entry) errorShare(p health.Policy) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	share, answers := e.health.ErrorShare()
	if answers < float64(p.MinAnswers) || e.draining {
		return -1
	}
	return share
}

// loadLocked is the best estimate of all hosts' load there.
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

// OwnLoad is what this host has sent there.
func (e *Entry) OwnLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own
}

// AdapterLoaded notes an adapter that was just loaded there, before the word that all
// hosts get of it.
func (e *Entry) AdapterLoaded(model, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.fleet.deps.Now()
	delete(e.notResidentUntil, model+"/"+adapter)
	next := append([]deploy.Resident(nil), e.residentsLocked(now)...)
	for i := range next {
		if next[i].Model == model && !contains(next[i].Adapters, adapter) {
			next[i].Adapters = append(append([]string(nil), next[i].Adapters...), adapter)
		}
	}
	e.announcedResidents, e.announcedAt = next, now
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// residentsLocked is what the upstream holds, by the newest word.
func (e *Entry) residentsLocked(now time.Time) []deploy.Resident {
	if e.usesAnnouncedLocked(now) || e.announcedAt.After(e.describedAt) {
		return e.announcedResidents
	}
	return e.desc.Residents
}

// hasResidentLocked looks a model up and leaves out what the upstream just denied.
func (e *Entry) hasResidentLocked(model, adapter string, now time.Time) bool {
	if len(e.notResidentUntil) > 0 && now.Before(e.notResidentUntil[model+"/"+adapter]) {
		return false
	}
	residents := deploy.Upstream{Residents: e.residentsLocked(now)}
	return residents.HasResident(model, adapter)
}

// MarkNotResident notes that the upstream said it does not hold a model or adapter.
func (e *Entry) MarkNotResident(model, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notResidentUntil == nil {
		e.notResidentUntil = map[string]time.Time{}
	}
	now := e.fleet.deps.Now()
	for k, until := range e.notResidentUntil {
		if now.After(until) {
			delete(e.notResidentUntil, k)
		}
	}
	e.notResidentUntil[model+"/"+adapter] = now.Add(notResidentTTL)
}

// MarkReplaced notes that another process has the upstream's address.
func (e *Entry) MarkReplaced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainLocked("another process at its address")
}

// markSuperseded notes that the upstream has started again, as another process.
// What was sent to this one is lost; attempts that can go elsewhere do.
func (e *Entry) markSuperseded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainLocked("started again")
	e.abortMovableLocked()
}

// abortMovableLocked ends the attempts there that can go elsewhere.
func (e *Entry) abortMovableLocked() {
	for x := range e.movable {
		x.abort()
	}
}

// processOrder says how an upstream's word relates to the process of an entry.
type processOrder uint8

const (
	sameProcess processOrder = iota
	earlierProcess
	laterProcess
)

// compareProcess compares a description's start with this entry's. A description that
// does not say when its process began speaks of the one that is known.
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

// Request is what a snapshot for one request needs to know of it.
type Request struct {
	Model       string
	Adapter     string
	PromptParts []PromptPart
}

// Endpoint is the upstream as one pick sees it.
func (e *Entry) Endpoint(req *Request, now time.Time) balance.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loadLocked(now)
	out := balance.Endpoint{ID: e.id, Address: e.desc.Address, Slots: e.desc.Slots, SameDataCentre: e.dataCentre == e.fleet.cfg.DataCentre,
		Draining: e.draining, InFlight: load.Requests, PendingPromptTokens: load.PendingPromptTokens, InFlightTokens: load.Tokens}
	switch e.health.Status(now) {
	case health.Down:
		out.Down = true
	case health.Trial:
		out.HalfOpen, out.ProbeInFlight = true, e.health.IsAwaitingBytes()
	}
	out.Backoff = e.backoffLocked(now)
	if e.desc.Cold > 0 {
		out.WarmupRemaining = max(e.desc.Cold-now.Sub(e.describedAt), 0)
	}
	if req.Model != "" {
		out.ModelResident = e.hasResidentLocked(req.Model, "", now)
	}
	if out.ModelResident { // the rest is of no use for an upstream that cannot get it
		out.AdapterResident = req.Adapter == "" || e.hasResidentLocked(req.Model, req.Adapter, now)
		out.CachedTokens = e.promptCache.CachedTokens(req, now)
	}
	return out
}
