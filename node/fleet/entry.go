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
	// reportedFresh is how long an upstream's own word on its load counts when
	// the other hosts' loads are not known.
	reportedFresh = time.Second
	// believedFresh is how long the word of a host that gave orders goes before
	// the upstream's own description, which lags, once that host is not heard.
	believedFresh = 1500 * time.Millisecond
	// deniedFor is how long a model is not asked for again at an upstream that
	// said it does not hold it: about one of its heartbeats and the lag of the list.
	deniedFor = 2 * time.Second
)

// Entry is one upstream. Its methods may be called from any goroutine.
type Entry struct {
	fleet *Fleet
	// One process keeps these for its life; they are read without the lock.
	id, service, address, dataCentre string
	born                             int64 // Unix milliseconds; 0: not said

	mu         sync.Mutex
	up         deploy.Upstream
	described  time.Time
	state      uint64 // of the list when it was described
	leaving    bool
	gone       bool      // its entry vanished
	useUntil   time.Time // of one that vanished with others
	goneSince  time.Time
	health     health.Tracker
	own        Load
	beside     int       // prompt tokens of the others' that were to be read there when a turn was given
	besideAt   time.Time // when it was
	reported   ReportedLoad
	reportedAt time.Time
	sentSince  int                 // own sends since reportedAt
	signal     backpressure.Signal // the newest that its answers said, here or at other hosts
	told       backpressure.Signal // as others were told last

	pacer      *backpressure.Pacer    // of this host while nobody counts for all
	paced      time.Time              // since when it is of
	askedAt    time.Time              // when its limit or its leaving was heard of
	askedBy    string                 // who heard it
	restUntil  time.Time              // until when the upstream wants nothing from this host
	start      backpressure.SlowStart // after its rest
	believed   []deploy.Resident
	believedAt time.Time
	believedOf uint64         // whose word that is; see word
	coming     []LoadingModel // by the same word
	indexed    []string       // models under which the fleet finds it
	forgotten  bool
	denied     map[string]time.Time // model and adapter, until when
	cache      PromptCache
	movable    map[*Attempt]struct{} // attempts that can go elsewhere
}

// ID names the upstream. Another process of it, started later, is another Entry.
func (e *Entry) ID() string { return e.id }

// Service names the service that it belongs to.
func (e *Entry) Service() string { return e.service }

// Address is where it listens.
func (e *Entry) Address() string { return e.address }

// StartedMs is when its process began, in Unix milliseconds by its own clock; 0: not said.
func (e *Entry) StartedMs() int64 { return e.born }

// DataCentre is where it runs.
func (e *Entry) DataCentre() string { return e.dataCentre }

// Description returns the upstream's newest description of itself and when it came.
func (e *Entry) Description() (deploy.Upstream, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up, e.described
}

// Usable says whether it may get new work, as far as it has told.
func (e *Entry) Usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.leaving
}

// IsDown says whether this host leaves it alone now for what its answers, or its
// silence, showed.
func (e *Entry) IsDown() bool { return e.down(e.fleet.deps.Now()) }

func (e *Entry) down(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.downLocked(now)
}

func (e *Entry) downLocked(now time.Time) bool {
	return !e.leaving && e.health.Status(now) == health.Down
}

// restsAt is down for one that was left alone; it takes an entry that answers again
// out of those.
func (e *Entry) restsAt(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.health.Status(now) == health.Up {
		e.fleet.resting.remove(e)
	}
	return e.downLocked(now)
}

// listed is what the platform's list says of it, and since which state.
func (e *Entry) listed() (u deploy.Upstream, state uint64, gone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up, e.state, e.gone
}

// describe takes what the list says; it says what of that is news.
func (e *Entry) describe(u deploy.Upstream, now time.Time, state uint64) (n news) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u.ID, u.Service, u.Address, u.DataCentre, u.Born = e.id, e.service, e.address, e.dataCentre, e.born
	if e.gone || e.described.IsZero() || !reflect.DeepEqual(u, e.up) { // a list that was read anew brings mostly what is known
		e.state, n = state, newsOfHeld
		if e.gone || e.described.IsZero() || !sameStanding(u, e.up) {
			n = newsForAll
		}
	}
	e.up, e.described = u, now
	e.reindexLocked()
	if e.gone && u.State == deploy.Ready {
		e.gone, e.leaving, e.useUntil = false, e.signal.Draining, time.Time{} // what its process said itself stays
		e.fleet.deps.Log.Emit(event.UpstreamReturned, zap.String(event.FieldPeer, u.ID))
	}
	if u.State == deploy.Draining {
		e.leaveLocked("its own word")
	}
	return n
}

// news says who needs to hear what the list says of an upstream.
type news uint8

const (
	newsNone   news = iota
	newsOfHeld      // those that give orders: what it holds, or has copies of
	newsForAll      // every host: who it is, and whether it leaves
)

// sameStanding says whether two descriptions differ at most in what the upstream
// holds or has copies of, and in how long it is slow yet.
func sameStanding(a, b deploy.Upstream) bool {
	for _, u := range []*deploy.Upstream{&a, &b} {
		u.Residents, u.InMemory, u.OnDisk, u.Cold = nil, nil, nil, 0
	}
	return reflect.DeepEqual(a, b)
}

// vanish notes that its entry is gone; it says no if that was known.
func (e *Entry) vanish(now time.Time, hold time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.gone, e.goneSince = true, now
	e.fleet.watch(e)
	if hold > 0 && !e.leaving {
		e.useUntil = now.Add(hold)
		e.fleet.deps.Log.Emit(event.UpstreamMassRemoval, zap.String(event.FieldPeer, e.id), zap.Duration("used_for", hold))
		return true
	}
	e.leaveLocked("entry removed")
	return true
}

// leaveLocked takes the upstream out of use. Within one process this is undone
// only when an entry that had merely run out comes back.
func (e *Entry) leaveLocked(why string) {
	if e.leaving {
		return
	}
	e.leaving = true
	e.fleet.deps.Log.Emit(event.UpstreamDraining, zap.String(event.FieldPeer, e.id), zap.String("source", why))
}

// forgetAfter is how long a vanished upstream is remembered: its requests may
// still run, and its entry may come back.
const forgetAfter = 20 * time.Second

// sweep does what time brings; it says whether the upstream can be forgotten.
func (e *Entry) sweep(now time.Time) (forget bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.signal.Limit.Stated {
		e.fleet.limits.extend(now.Add(limitedFor))
	}
	if e.gone && !e.useUntil.IsZero() && now.After(e.useUntil) {
		e.useUntil = time.Time{}
		e.leaveLocked("entry did not come back")
	}
	if e.health.IsUnresponsive(e.fleet.cfg.Health, now, e.readingLocked(now)) && e.restLocked(now) {
		e.abortMovableLocked()
		e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, e.id), zap.String("why", "silent"), zap.Int("outstanding", e.own.Requests))
	}
	if e.own.Requests == 0 && !e.gone && !e.signal.Limit.Stated {
		e.fleet.watched.remove(e)
	}
	return e.gone && e.own.Requests == 0 && now.Sub(e.goneSince) > forgetAfter
}

// slowestTokensPerMs is the slowest that an engine reads prompts, with a full
// batch: an engine that is silent for less than its backlog takes is reading.
const slowestTokensPerMs = 10.0

// besideFor is how long the prompts that were to be read there when a turn was given
// may still be: a few times what an engine is given to read.
const besideFor = 1500 * time.Millisecond

// readingLocked is how long the prompts that wait there may keep it silent.
func (e *Entry) readingLocked(now time.Time) time.Duration {
	waiting := e.loadLocked(now).PendingPromptTokens
	if now.Sub(e.besideAt) < besideFor {
		waiting = max(waiting, e.own.PendingPromptTokens+e.beside)
	}
	return time.Duration(float64(waiting) / slowestTokensPerMs * float64(time.Millisecond))
}

// rest leaves the upstream alone for a while; it says whether that is news.
func (e *Entry) rest(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restLocked(now)
}

// restLocked leaves the upstream alone for a while; it says whether that is news.
func (e *Entry) restLocked(now time.Time) bool {
	news := e.health.Exclude(e.fleet.cfg.Health, now)
	e.restedLocked(news)
	return news
}

// restedLocked notes that the upstream is left alone.
func (e *Entry) restedLocked(news bool) {
	if !news {
		return
	}
	e.fleet.resting.add(e)
	e.fleet.noticed()
}

// failures is the share of its answers that failed; below 0: too few answers.
func (e *Entry) failures(p health.Policy) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	share, answers := e.health.ErrorShare()
	if answers < float64(p.MinAnswers) || e.leaving {
		return -1
	}
	return share
}

// loadLocked is the best estimate of all hosts' load there.
func (e *Entry) loadLocked(now time.Time) Load {
	if others, known := e.fleet.others.at(e, now); known {
		return e.own.Plus(others)
	}
	total := e.own
	if now.Sub(e.reportedAt) < reportedFresh {
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
	delete(e.denied, model+"/"+adapter)
	next := append([]deploy.Resident(nil), e.residentsLocked(now)...)
	for i := range next {
		if next[i].Model == model && !contains(next[i].Adapters, adapter) {
			next[i].Adapters = append(append([]string(nil), next[i].Adapters...), adapter)
		}
	}
	e.believed, e.believedAt = next, now
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
	if e.believesLocked(now) || e.believedAt.After(e.described) {
		return e.believed
	}
	return e.up.Residents
}

// holdsLocked looks a model up and leaves out what the upstream just denied.
func (e *Entry) holdsLocked(model, adapter string, now time.Time) bool {
	if len(e.denied) > 0 && now.Before(e.denied[model+"/"+adapter]) {
		return false
	}
	held := deploy.Upstream{Residents: e.residentsLocked(now)}
	return held.HasResident(model, adapter)
}

// MarkNotResident notes that the upstream said it does not hold a model or adapter.
func (e *Entry) MarkNotResident(model, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.denied == nil {
		e.denied = map[string]time.Time{}
	}
	now := e.fleet.deps.Now()
	for k, until := range e.denied {
		if now.After(until) {
			delete(e.denied, k)
		}
	}
	e.denied[model+"/"+adapter] = now.Add(deniedFor)
}

// MarkReplaced notes that another process has the upstream's address.
func (e *Entry) MarkReplaced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveLocked("another process at its address")
}

// succeeded notes that the upstream has started again, as another process.
// What was sent to this one is lost; attempts that can go elsewhere do.
func (e *Entry) succeeded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveLocked("started again")
	e.abortMovableLocked()
}

// abortMovableLocked ends the attempts there that can go elsewhere.
func (e *Entry) abortMovableLocked() {
	for x := range e.movable {
		x.abort()
	}
}

// process says how an upstream's word relates to the process of an entry.
type process uint8

const (
	sameProcess process = iota
	formerProcess
	newProcess
)

// relation compares a description's start with this entry's. A description that
// does not say when its process began speaks of the one that is known.
func (e *Entry) relation(born int64) process {
	switch {
	case born == 0 || born == e.born:
		return sameProcess
	case born < e.born:
		return formerProcess
	default:
		return newProcess
	}
}

// Request is what a snapshot for one request needs to know of it.
type Request struct {
	Model       string
	Adapter     string
	PromptParts []PromptPart
}

// Endpoint is the upstream as one pick sees it.
func (e *Entry) Endpoint(a *Request, now time.Time) balance.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.loadLocked(now)
	out := balance.Endpoint{ID: e.id, Address: e.up.Address, Slots: e.up.Slots, SameDataCentre: e.dataCentre == e.fleet.cfg.DataCentre,
		Draining: e.leaving, InFlight: l.Requests, PendingPromptTokens: l.PendingPromptTokens, InFlightTokens: l.Tokens}
	switch e.health.Status(now) {
	case health.Down:
		out.Down = true
	case health.Trial:
		out.HalfOpen, out.ProbeInFlight = true, e.health.IsAwaitingBytes()
	}
	out.Backoff = e.backoffLocked(now)
	if e.up.Cold > 0 {
		out.WarmupRemaining = max(e.up.Cold-now.Sub(e.described), 0)
	}
	if a.Model != "" {
		out.ModelResident = e.holdsLocked(a.Model, "", now)
	}
	if out.ModelResident { // the rest is of no use for an upstream that cannot get it
		out.AdapterResident = a.Adapter == "" || e.holdsLocked(a.Model, a.Adapter, now)
		out.CachedTokens = e.cache.CachedTokens(a, now)
	}
	return out
}
