package permits

import (
	"time"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/speed"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/permits/queue"
	"peridotpier.example/node/fleet"
)

// waitingRequests holds the requests that wait for a permit. It is guarded by the mutex of
// permits.
type waitingRequests struct {
	*queue.Queue[*request]
	byStream map[*Stream]map[uint64]*request
	weighed  *deploy.Table // whose weights are in force in the queue
	loggedAt time.Time     // when shares were last logged
}

func newWaitingRequests() waitingRequests {
	return waitingRequests{Queue: queue.New[*request](), byStream: map[*Stream]map[uint64]*request{}}
}

// find returns a waiting request; nil: it does not wait.
func (q *waitingRequests) find(k requestKey) *request { return q.byStream[k.from][k.id] }

// forget drops a request that waits no more from the index.
func (q *waitingRequests) forget(k requestKey) {
	of := q.byStream[k.from]
	delete(of, k.id)
	if len(of) == 0 {
		delete(q.byStream, k.from)
	}
}

// remove ends the wait of a request that was not granted.
func (q *waitingRequests) remove(w *request, now time.Time) {
	q.Remove(w.event.Service, w.event.Model, w.item, now)
	q.forget(w.key)
}

// removeStream removes the requests of a stream.
func (q *waitingRequests) removeStream(from *Stream, now time.Time) {
	for _, w := range q.byStream[from] {
		q.Remove(w.event.Service, w.event.Model, w.item, now)
	}
	delete(q.byStream, from)
}

// reweigh applies the weights of the configuration in force.
func (p *Permits) reweigh() {
	if p.deps.Config == nil {
		return
	}
	if t := p.deps.Config.Current(); t != nil && t != p.waiting.weighed {
		p.waiting.weighed = t
		p.waiting.Configure(len(t.Config.Teams) > 0, t.Weight)
	}
}

// enqueue lets a request wait.
func (p *Permits) enqueue(w *request, now time.Time) {
	if old := p.waiting.find(w.key); old != nil { // a faulty host: it would wait twice
		p.waiting.remove(old, now)
	}
	w.item = p.waiting.Push(p.queued(w, p.expectedWork(w)), w, now)
	of := p.waiting.byStream[w.key.from]
	if of == nil {
		of = map[uint64]*request{}
		p.waiting.byStream[w.key.from] = of
	}
	of[w.key.id] = w
	w.key.from.send(&coordpb.TurnAnswer{Id: w.key.id, Kind: coordpb.TurnAnswer_QUEUED, Reason: uint32(w.waitReason)})
}

// queued describes a request to the queue.
func (p *Permits) queued(w *request, cost float64) queue.Request {
	return queue.Request{Service: w.event.Service, Model: w.event.Model, Team: w.event.Account, Rank: int(w.event.Priority), Cost: cost}
}

// Work of a request, in milliseconds of one engine's time. The calls of a plain service
// count as equal.
const (
	plainCallWork = 1.0
	minWork       = 0.1 // no request is free, so that order and bounds hold for any figures
)

// expectedWork returns the work of a request that was not granted yet.
func (p *Permits) expectedWork(w *request) float64 {
	return p.work(w, func(m speed.Estimator, slots int) time.Duration {
		return m.EngineTime(int(w.event.Prompt), int(w.event.Output), slots)
	})
}

// grantedWork returns the work of a request that was granted: what is cached of its prompt
// is not read.
func (p *Permits) grantedWork(w *request) float64 {
	return p.work(w, func(m speed.Estimator, slots int) time.Duration {
		reading := time.Duration(float64(w.event.Prompt) * m.PrefillMsPerToken() * float64(time.Millisecond))
		return reading + m.EngineTime(0, int(w.event.Output), slots)
	})
}

func (p *Permits) work(w *request, of func(m speed.Estimator, slots int) time.Duration) float64 {
	if w.event.Model == "" {
		return plainCallWork
	}
	slots := 0
	if e := p.deps.Engine(w.event.Service); e != nil {
		slots = e.Slots
	}
	var took time.Duration
	p.deps.Speeds.WithModel(w.model(), func(m speed.Estimator) { took = of(m, slots) })
	return max(took.Seconds()*1000, minWork)
}

// chargeGranted counts a request that was granted without waiting to its team.
func (p *Permits) chargeGranted(w *request, now time.Time) {
	if w.upstream != "" {
		p.waiting.Charge(p.queued(w, p.grantedWork(w)), now)
		p.countPassedOver(w)
	}
}

// grantWaitingAt grants waiting requests at one upstream, whose state has changed. The
// other upstreams are as they were when the requests were tried there.
func (p *Permits) grantWaitingAt(upstream string) {
	e, ok := p.deps.Fleet.Entry(upstream)
	if !ok || p.waiting.Len() == 0 {
		return
	}
	now := p.deps.Now()
	p.reweigh()
	clear(p.large.blocked[upstream])
	p.large.blocked[upstream] = p.large.blocked[upstream][:0]
	p.waiting.ScanModels(e.Service(), servedModels(e), p.scan(now, func(w *request) bool {
		return p.tryAt(w, e, func() balance.Decision { return p.pick(w, []*fleet.Entry{e}, now) })
	}))
	if p.waiting.Len() > 0 {
		p.wakeAfter(e, now, p.limits.wait(e, now))
		p.wakeAheadAt(e, now)
	}
}

// servedModels returns the models that an upstream may serve; "" stands for calls of a plain
// service.
func servedModels(e *fleet.Entry) []string { return append(e.ResidentModels(), "") }

// grantAllWaiting tries waiting requests at all upstreams.
func (p *Permits) grantAllWaiting(now time.Time) {
	p.reweigh()
	p.waiting.ScanAll(p.scan(now, func(w *request) bool {
		w.waitReason = p.tryAll(w, now)
		if w.upstream != "" {
			p.countPassedOver(w)
		}
		return !mayQueue(w.waitReason)
	}))
}

// scan returns a scan that ends the wait of the requests for which try returns true.
// Overdue requests are tried after those that can still be answered in time.
func (p *Permits) scan(now time.Time, try func(*request) bool) queue.Scan[*request] {
	return queue.Scan[*request]{Now: now,
		Late: func(w *request) bool { return w.isOverdue(now) },
		Try: func(w *request) (done bool, cost float64) {
			if !try(w) {
				return false, 0
			}
			p.waiting.forget(w.key)
			if w.upstream != "" {
				cost = p.grantedWork(w)
			}
			return true, cost
		}}
}

// mayQueue reports whether a request that was not granted for this reason waits here
// until the reason has passed.
func mayQueue(r balance.Reason) bool {
	return r == balance.AllPrefilling || r == balance.AllFull || r == balance.AllBackoff
}
