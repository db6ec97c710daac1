package fleet

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/reach"
	"peridotpier.example/node/event"
)

// UpstreamLoad is the load that this host has sent to one upstream.
type UpstreamLoad struct {
	Upstream string
	Load
	Slowdown float64 // that the upstream stated lately, if it differs from the usual; 0: none
}

// OwnLoads returns the load at each upstream at which this host has requests.
func (f *Fleet) OwnLoads() []UpstreamLoad {
	var out []UpstreamLoad
	now := f.deps.Now()
	for _, e := range f.pendingChecks.all() {
		if own := e.OwnLoad(); own.Requests > 0 {
			out = append(out, UpstreamLoad{e.id, own, e.StatedSlowdown(now)})
		}
	}
	return out
}

// Cost is what one request adds to an upstream's load.
type Cost struct {
	PromptTokens int
	OutputTokens int // expected
}

// Attempt is one attempt to send a request to an upstream. It belongs to one goroutine.
type Attempt struct {
	e            *Entry
	req          *Request
	cost         Cost
	gotFirstByte bool
	ended        bool
	refused      bool                              // the upstream stated not to have run it
	abandoned    bool                              // the upstream may still run it
	complete     bool                              // its answer is complete, and no failure
	room         *roomSend                         // in this host's account of a brittle upstream; nil: it does not count there
	inSlowStart  bool                              // it counts in the upstream's slow start
	onFirstByte  func()                            // called when the first bytes of the answer arrive; nil: not called
	abort        func(unresponsiveSince time.Time) // called when the upstream is found unresponsive; nil: the attempt stays
}

// Software returns the version of the upstream's software; "" if it is not known.
func (x *Attempt) Software() string { return x.Entry().Software() }

// Entry returns the entry of the upstream that the attempt is sent to.
func (x *Attempt) Entry() *Entry { return x.e }

// OnFirstByte has f called when the first bytes of the answer arrive.
func (x *Attempt) OnFirstByte(f func()) { x.onFirstByte = f }

// OnUnresponsive has abort called if the upstream is found unresponsive, or was started
// again, during the attempt, with the time since when it counts as unresponsive. It is for
// attempts that can be retried elsewhere.
func (x *Attempt) OnUnresponsive(abort func(unresponsiveSince time.Time)) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.abort = abort
	x.e.movable[x] = struct{}{}
}

// Begin records an attempt that is about to be sent.
func (e *Entry) Begin(req *Request, c Cost) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.Requests++
	e.fleet.scheduleChecks(e)
	e.own.PendingPromptTokens += c.PromptTokens
	e.own.Tokens += c.PromptTokens + c.OutputTokens
	e.sentSince++
	now := e.fleet.deps.Now()
	e.health.RecordSend(now)
	x := &Attempt{e: e, req: req, cost: c, inSlowStart: e.slowStart.Sent()}
	x.countInRoomLocked(now)
	return x
}

// RecordPendingPrompts records how many prompt tokens of other hosts' requests the
// upstream has to read. pendingTokens is the total of all hosts without this attempt, as
// of when the permit for the attempt was granted.
func (x *Attempt) RecordPendingPrompts(pendingTokens int) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.othersPending, x.e.othersPendingAt = max(pendingTokens-(x.e.own.PendingPromptTokens-x.cost.PromptTokens), 0), x.e.fleet.deps.Now()
}

// ReceivedBytes records bytes of the answer. The first ones show that the prompt has been
// read.
func (x *Attempt) ReceivedBytes() {
	now := x.e.fleet.deps.Now()
	x.e.fleet.contact.received(now.Sub(x.e.fleet.origin))
	if !x.gotFirstByte && x.onFirstByte != nil {
		x.onFirstByte()
	}
	x.e.mu.Lock()
	defer func(told []reader) { x.e.mu.Unlock(); tell(told, now) }(x.e.heardLocked(now))
	if x.inSlowStart && !x.gotFirstByte {
		x.e.slowStart.Answered(x.e.desc.Slots)
	}
	if x.room != nil {
		x.room.account.Answered(&x.room.send, x.room.fragility)
	}
	x.recordFirstByteLocked()
	x.e.answeredAt = now
	x.e.health.RecordBytes(now, x.e.own.Requests > 0)
	x.e.promptCache.Record(x.req, now)
}

func (x *Attempt) recordFirstByteLocked() {
	if !x.gotFirstByte {
		x.gotFirstByte = true
		x.e.own.PendingPromptTokens -= x.cost.PromptTokens
	}
}

// RecordReportedLoad records the load that the upstream stated on its answer.
func (x *Attempt) RecordReportedLoad(r ReportedLoad) {
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	now := x.e.fleet.deps.Now()
	x.e.speed.observe(r.Slowdown, now)
	if !r.CountsUnknown {
		x.e.reported, x.e.reportedAt, x.e.sentSince = r, now, 0
	}
}

// Answered ends an attempt whose answer is complete; failed means that the upstream ran
// the request and failed it.
func (x *Attempt) Answered(failed bool) {
	x.complete = !failed
	x.end(func() { x.e.recordAnswerLocked(failed) })
}

// recordAnswerLocked records an answer, or that there was none.
func (e *Entry) recordAnswerLocked(failed bool) {
	e.health.RecordAnswer(failed)
	if _, answers := e.health.ErrorShare(); answers >= float64(e.fleet.cfg.Health.MinAnswers) {
		e.fleet.rated.add(e)
	}
}

// Refused ends an attempt that the upstream states not to have run.
func (x *Attempt) Refused() {
	now := x.e.fleet.deps.Now()
	x.e.fleet.contact.received(now.Sub(x.e.fleet.origin))
	x.refused = true
	var told []reader
	x.end(func() { told = x.e.heardLocked(now) })
	tell(told, now)
}

// Cancelled ends an attempt that this host gave up: its caller disconnected or its time
// is over.
func (x *Attempt) Cancelled() {
	x.abandon()
	x.end(func() {})
}

// MayStillRun reports whether the attempt has ended while its upstream may still run it.
func (x *Attempt) MayStillRun() bool { return x.abandoned }

// IsComplete reports whether the attempt's answer is complete, and no failure.
func (x *Attempt) IsComplete() bool { return x.complete }

// abandon records that the attempt ends without a complete answer.
func (x *Attempt) abandon() { x.abandoned = x.abandoned || !x.ended }

// Interrupted ends an attempt whose connection or answer broke off; it logs why if the
// upstream is excluded for it.
func (x *Attempt) Interrupted(why string) {
	var excluded bool
	x.recordLostContact(why)
	if why != WhyUnconnected {
		x.abandon()
	}
	x.end(func() {
		x.e.recordAnswerLocked(true)
		excluded = x.e.health.RecordFailure(x.e.fleet.cfg.Health, x.e.fleet.deps.Now())
		x.e.recordExclusionLocked(excluded)
	})
	if excluded {
		x.e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, x.e.ID()), zap.String("why", why))
	}
}

// NotListening ends an attempt at an address at which nothing listens. The upstream's
// process has terminated, so it is excluded without a second failure, unless no upstream
// may be in reach: open connections to it may work.
func (x *Attempt) NotListening() {
	var excluded bool
	x.recordLostContact(WhyUnconnected)
	if x.e.fleet.OwnEvidenceDoubted() {
		x.end(func() {})
		return
	}
	x.end(func() { excluded = x.e.excludeLocked(x.e.fleet.deps.Now()) })
	if excluded {
		x.e.fleet.deps.Log.Emit(event.UpstreamExcluded, zap.String(event.FieldPeer, x.e.ID()), zap.String("why", "absent"))
	}
}

// Reasons of interruptions that say that no new connection serves.
const (
	WhyUnconnected = "no_connection"        // none was opened
	WhyNewConn     = "new_connection_ended" // it ended without a byte of an answer
)

// recordLostContact records a failed exchange as evidence about this host's way to the
// upstreams.
func (x *Attempt) recordLostContact(why string) {
	if x.ended {
		return
	}
	kind := reach.Broken
	if why == WhyUnconnected || why == WhyNewConn {
		kind = reach.Unconnected
	}
	x.e.fleet.contact.failed(reach.Failure{Upstream: x.e.id, At: x.e.fleet.deps.Now(), Kind: kind})
}

func (x *Attempt) end(recordLocked func()) {
	if x.ended {
		return
	}
	x.ended = true
	x.e.mu.Lock()
	delete(x.e.movable, x)
	x.recordFirstByteLocked()
	if x.inSlowStart {
		x.e.slowStart.Ended()
	}
	x.endInRoomLocked()
	x.e.own.Requests--
	x.e.own.Tokens -= x.cost.PromptTokens + x.cost.OutputTokens
	if x.e.own.Requests == 0 {
		x.e.health.ClearOutstanding()
	}
	recordLocked()
	x.e.mu.Unlock()
	x.e.fleet.NotifyChanged()
}
