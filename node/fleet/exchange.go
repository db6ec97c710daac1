package fleet

import (
	"go.uber.org/zap"

	"peridotpier.example/node/event"
)

// UpstreamLoad is what this host has sent to an upstream and has not ended.
type UpstreamLoad struct {
	Upstream string
	Load
}

// OwnLoads lists the upstreams at which this host has requests.
func (f *Fleet) OwnLoads() []UpstreamLoad {
	var out []UpstreamLoad
	for _, e := range f.watched.all() {
		if own := e.OwnLoad(); own.Requests > 0 {
			out = append(out, UpstreamLoad{e.id, own})
		}
	}
	return out
}

// Cost is what one request adds to an upstream's load.
type Cost struct {
	PromptTokens int // tokens
	OutputTokens int // tokens to expect
}

// Attempt is one attempt at an upstream. It belongs to one goroutine.
type Attempt struct {
	e     *Entry
	ask   *Request
	cost  Cost
	first bool
	ended bool
	trial bool   // it counts in the upstream's slow start
	heard func() // called when the first bytes of the answer came; nil: nobody asks
	abort func() // called when the upstream is found silent; nil: the attempt stays
}

// Entry is the upstream that the attempt is at.
func (x *Attempt) Entry() *Entry { return x.e }

// OnFirstByte has f called when the first bytes of the answer come.
func (x *Attempt) OnFirstByte(f func()) { x.heard = f }

// OnUnresponsive has abort called if the upstream is found silent while the attempt
// is there. It is for attempts that can go elsewhere.
func (x *Attempt) OnUnresponsive(abort func()) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.abort = abort
	x.e.movable[x] = struct{}{}
}

// Begin counts an attempt that is about to be sent.
func (e *Entry) Begin(a *Request, c Cost) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.Requests++
	e.fleet.watch(e)
	e.own.PendingPromptTokens += c.PromptTokens
	e.own.Tokens += c.PromptTokens + c.OutputTokens
	e.sentSince++
	e.health.RecordSend(e.fleet.deps.Now())
	return &Attempt{e: e, ask: a, cost: c, trial: e.start.Sent()}
}

// RecordPendingPrompts notes how many prompt tokens of other hosts' requests the upstream has to
// read, by who gave the turn for this one.
func (x *Attempt) RecordPendingPrompts(waiting int) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.beside, x.e.besideAt = max(waiting-(x.e.own.PendingPromptTokens-x.cost.PromptTokens), 0), x.e.fleet.deps.Now()
}

// ReceivedBytes notes bytes of the answer. The first ones end the wait for the prompt.
func (x *Attempt) ReceivedBytes() {
	now := x.e.fleet.deps.Now()
	if !x.first && x.heard != nil {
		x.heard()
	}
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	if x.trial && !x.first {
		x.e.start.Answered(x.e.up.Slots)
	}
	x.firstLocked()
	x.e.health.RecordBytes(now, x.e.own.Requests > 0)
	x.e.cache.Record(x.ask, now)
}

func (x *Attempt) firstLocked() {
	if !x.first {
		x.first = true
		x.e.own.PendingPromptTokens -= x.cost.PromptTokens
	}
}

// RecordReportedLoad takes the load that the upstream put on its answer.
func (x *Attempt) RecordReportedLoad(r ReportedLoad) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.reported, x.e.reportedAt, x.e.sentSince = r, x.e.fleet.deps.Now(), 0
}

// Answered ends an attempt whose answer is whole; failed says that the
// upstream ran the request and failed it.
func (x *Attempt) Answered(failed bool) {
	x.end(func() { x.e.rateLocked(failed) })
}

// rateLocked notes an answer, or its absence.
func (e *Entry) rateLocked(failed bool) {
	e.health.RecordAnswer(failed)
	if _, answers := e.health.ErrorShare(); answers >= float64(e.fleet.cfg.Health.MinAnswers) {
		e.fleet.rated.add(e)
	}
}

// Refused ends an attempt that the upstream did not run, by its own word.
func (x *Attempt) Refused() { x.end(func() {}) }

// Cancelled ends an attempt that this host gave up: its caller left or its time is over.
func (x *Attempt) Cancelled() { x.end(func() {}) }

// Interrupted ends an attempt whose connection or answer broke; why goes to the log.
func (x *Attempt) Interrupted(why string) {
	var resting bool
	x.end(func() {
		x.e.rateLocked(true)
		resting = x.e.health.RecordFailure(x.e.fleet.cfg.Health, x.e.fleet.deps.Now())
		x.e.restedLocked(resting)
	})
	if resting {
		x.e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, x.e.ID()), zap.String("why", why))
	}
}

// NotListening ends an attempt at an upstream at whose address nothing listens. Its
// process has ended, so that there is no need for a second sign.
func (x *Attempt) NotListening() {
	var resting bool
	x.end(func() { resting = x.e.restLocked(x.e.fleet.deps.Now()) })
	if resting {
		x.e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, x.e.ID()), zap.String("why", "absent"))
	}
}

func (x *Attempt) end(note func()) {
	if x.ended {
		return
	}
	x.ended = true
	x.e.mu.Lock()
	delete(x.e.movable, x)
	x.firstLocked()
	if x.trial {
		x.e.start.Ended()
	}
	x.e.own.Requests--
	x.e.own.Tokens -= x.cost.PromptTokens + x.cost.OutputTokens
	if x.e.own.Requests == 0 {
		x.e.health.ClearOutstanding()
	}
	note()
	x.e.mu.Unlock()
	x.e.fleet.NotifyChanged()
}
