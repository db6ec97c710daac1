package fleet

import (
	"go.uber.org/zap"

	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/event"
)

// noLimit stands in logs for an upstream that names no limit.
const noLimit = -1.0

// Heed takes what an answer of the upstream said; source says who heard it.
func (e *Entry) Heed(s backpressure.Signal, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.signal.Limit
	e.signal = backpressure.Latest(e.signal, s)
	if now := e.signal.Limit; now != was {
		e.fleet.deps.Log.Emit(event.UpstreamLimited, zap.String(event.FieldPeer, e.id), zap.Float64("per_second", logged(now)),
			zap.Float64("was", logged(was)), zap.String("source", source))
	}
}

// Limit is what the upstream takes from all hosts together, by its newest word.
func (e *Entry) Limit() backpressure.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signal.Limit
}

func logged(l backpressure.Limit) float64 {
	if !l.Named {
		return noLimit
	}
	return l.PerSecond
}
