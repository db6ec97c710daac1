package engine

import (
	"slices"
	"time"

	"peridotpier.example/core/class"
)

// batch holds the attempts that the engine computes now and those that wait.
type batch struct {
	running []*attempt
	waiting [class.Count][]*attempt // by class, oldest first
}

func (b *batch) waitingCount() int {
	n := 0
	for _, q := range b.waiting {
		n += len(q)
	}
	return n
}

// pop removes and returns the oldest attempt of the most urgent class; nil when
// none waits.
func (b *batch) pop() *attempt {
	for c := class.Count - 1; c >= 0; c-- {
		if q := b.waiting[c]; len(q) > 0 {
			a := q[0]
			q[0] = nil
			b.waiting[c] = q[1:]
			return a
		}
	}
	return nil
}

// remove removes an attempt that ended while it waited.
func (b *batch) remove(a *attempt) {
	q := b.waiting[a.class]
	if i := slices.Index(q, a); i >= 0 {
		b.waiting[a.class] = slices.Delete(q, i, i+1)
	}
}

// stepLoop computes one step after the other while there is work. It paces itself
// by the time at which a step is due and not by sleeps of the length of a step: a
// sleep takes longer than requested, so that with steps shorter than the
// resolution of the timer the engine would be slower than configured.
func (e *Engine) stepLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := time.Now()
	for {
		cost, busy := e.beginStep()
		if !busy {
			select {
			case <-e.wake:
				due = time.Now()
				continue
			case <-e.ctx.Done():
				return
			}
		}
		now := time.Now()
		if due = due.Add(cost); now.Sub(due) > maxStepLag {
			due = now
		}
		if pause := due.Sub(now); pause > 0 {
			timer.Reset(pause)
			select {
			case <-timer.C:
			case <-e.ctx.Done():
				return
			}
		}
		e.finishStep()
	}
}

// beginStep admits waiting attempts up to the maximum batch and returns how long
// the step takes.
func (e *Engine) beginStep() (cost time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch.running) < e.cfg.MaxBatch {
		a := e.batch.pop()
		if a == nil {
			break
		}
		if a.ended() {
			continue
		}
		a.prefillLeft = e.prefillTokens(a)
		a.start()
		e.batch.running = append(e.batch.running, a)
	}
	return e.stepCost(), len(e.batch.running) > 0
}

// stepCost returns the duration of one step: models share the accelerators one
// after the other, the streams of one model are computed together, and prompts are
// computed in chunks that delay all streams.
func (e *Engine) stepCost() time.Duration {
	streams := map[string]int{}
	prefill := 0
	for _, a := range e.batch.running {
		if a.prefillLeft > 0 {
			prefill += a.prefillLeft
			continue
		}
		streams[a.key.Model]++
	}
	cost := time.Duration(min(prefill, e.cfg.PrefillChunk)) * e.cfg.PrefillPerToken
	for model, n := range streams {
		cost += time.Duration(float64(e.tokenTime(model)) * (1 + e.cfg.BatchSlope*float64(n-1)))
	}
	return cost
}

func (e *Engine) tokenTime(model string) time.Duration {
	if t, ok := e.cfg.TokenTimes[model]; ok {
		return t
	}
	return e.cfg.TokenTime
}

// finishStep gives each running attempt its token or its share of the prompt
// chunk.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := e.cfg.PrefillChunk
	kept := e.batch.running[:0]
	for _, a := range e.batch.running {
		switch {
		case a.ended():
			continue
		case a.prefillLeft > 0:
			done := min(chunk, a.prefillLeft)
			chunk -= done
			a.prefillLeft -= done
		case a.produce(e.tokenTime(a.key.Model) == 0):
			e.finish(a, outcomeCompleted)
			continue
		}
		kept = append(kept, a)
	}
	clear(e.batch.running[len(kept):])
	e.batch.running = kept
}

// wakeStepLoop notifies the step loop that there may be work.
func (e *Engine) wakeStepLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
