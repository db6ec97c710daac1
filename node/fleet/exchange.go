package fleet

import (
	"go.uber.org/zap"

	"peridotpier.example/node/event"
)

// Sent is what this host has sent to an upstream and has not ended.
type Sent struct {
	Upstream string
	Load
}

// Sent lists the upstreams at which this host has requests.
func (f *Fleet) Sent() []Sent {
	var out []Sent
	for _, e := range f.watched.all() {
		if own := e.OwnLoad(); own.Requests > 0 {
			out = append(out, Sent{e.id, own})
		}
	}
	return out
}

// Cost is what one request adds to an upstream's load.
type Cost struct {
	Prompt int // tokens
	Output int // tokens to expect
}

// Exchange is one attempt at an upstream. It belongs to one goroutine.
type Exchange struct {
	e     *Entry
	ask   *Ask
	cost  Cost
	first bool
	ended bool
	trial bool   // it counts in the upstream's slow start
	heard func() // called when the first bytes of the answer came; nil: nobody asks
	abort func() // called when the upstream is found silent; nil: the attempt stays
}

// Entry is the upstream that the attempt is at.
func (x *Exchange) Entry() *Entry { return x.e }

// OnFirst has f called when the first bytes of the answer come.
func (x *Exchange) OnFirst(f func()) { x.heard = f }

// OnSilence has abort called if the upstream is found silent while the attempt
// is there. It is for attempts that can go elsewhere.
func (x *Exchange) OnSilence(abort func()) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.abort = abort
	x.e.movable[x] = struct{}{}
}

// Begin counts an attempt that is about to be sent.
func (e *Entry) Begin(a *Ask, c Cost) *Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.Requests++
	e.fleet.watch(e)
	e.own.Waiting += c.Prompt
	e.own.Tokens += c.Prompt + c.Output
	e.sentSince++
	e.health.RecordSend(e.fleet.deps.Now())
	return &Exchange{e: e, ask: a, cost: c, trial: e.start.Sent()}
}

// Beside notes how many prompt tokens of other hosts' requests the upstream has to
// read, by who gave the turn for this one.
func (x *Exchange) Beside(waiting int) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.beside, x.e.besideAt = max(waiting-(x.e.own.Waiting-x.cost.Prompt), 0), x.e.fleet.deps.Now()
}

// Heard notes bytes of the answer. The first ones end the wait for the prompt.
func (x *Exchange) Heard() {
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
	x.e.cache.Keep(x.ask, now)
}

func (x *Exchange) firstLocked() {
	if !x.first {
		x.first = true
		x.e.own.Waiting -= x.cost.Prompt
	}
}

// Told takes the load that the upstream put on its answer.
func (x *Exchange) Told(r Reported) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.reported, x.e.reportedAt, x.e.sentSince = r, x.e.fleet.deps.Now(), 0
}

// Answered ends an attempt whose answer is whole; failed says that the
// upstream ran the request and failed it.
func (x *Exchange) Answered(failed bool) {
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
func (x *Exchange) Refused() { x.end(func() {}) }

// Dropped ends an attempt that this host gave up: its caller left or its time is over.
func (x *Exchange) Dropped() { x.end(func() {}) }

// Broken ends an attempt whose connection or answer broke; why goes to the log.
func (x *Exchange) Broken(why string) {
	var resting bool
	x.end(func() {
		x.e.rateLocked(true)
		resting = x.e.health.RecordFailure(x.e.fleet.cfg.Health, x.e.fleet.deps.Now())
		x.e.restedLocked(resting)
	})
	if resting {
		x.e.fleet.deps.Log.Emit(event.UpstreamResting, zap.String(event.FieldPeer, x.e.ID()), zap.String("why", why))
	}
}

// Absent ends an attempt at an upstream at whose address nothing listens. Its
// process has ended, so that there is no need for a second sign.
func (x *Exchange) Absent() {
	var resting bool
	x.end(func() { resting = x.e.restLocked(x.e.fleet.deps.Now()) })
	if resting {
		x.e.fleet.deps.Log.Emit(event.UpstreamResting, zap.String(event.FieldPeer, x.e.ID()), zap.String("why", "absent"))
	}
}

func (x *Exchange) end(note func()) {
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
	x.e.own.Tokens -= x.cost.Prompt + x.cost.Output
	if x.e.own.Requests == 0 {
		x.e.health.ClearOutstanding()
	}
	note()
	x.e.mu.Unlock()
	x.e.fleet.Tell()
}
