package connlimit

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// reportInterval is the shortest time between two lines of connections that were closed.
const reportInterval = time.Second

// reporter logs and counts the connections that a Limiter closes.
type reporter struct {
	log     *event.Log
	metrics *metrics.Set

	mu      sync.Mutex
	at      time.Time // of the last line
	omitted int       // connections since then
}

// Report returns a function for Config.OnClosed that counts each connection, and logs one of
// them each second.
func Report(log *event.Log, m *metrics.Set) func(Closed) {
	r := &reporter{log: log, metrics: m}
	return r.closed
}

func (r *reporter) closed(c Closed) {
	r.metrics.CountKind(metrics.ClientsRefused, c.Listener+"_"+string(c.Reason), 1)
	now := time.Now()
	r.mu.Lock()
	if now.Sub(r.at) < reportInterval {
		r.omitted++
		r.mu.Unlock()
		return
	}
	omitted := r.omitted
	r.at, r.omitted = now, 0
	r.mu.Unlock()
	r.log.Emit(event.ClientRefused, zap.String("listener", c.Listener), zap.String(event.FieldPeer, c.Client), zap.String("why", string(c.Reason)),
		zap.Int64("held_bytes", c.Held), zap.Int64("age_ms", c.Age.Milliseconds()), zap.Int("others", omitted))
}

// Expose publishes what a Limiter's connections hold.
func (l *Limiter) Expose(m *metrics.Set, name string) {
	m.SetFunc(metrics.ClientConns+metrics.Name("_"+name), func() any { conns, _ := l.Held(); return conns })
	m.SetFunc(metrics.ClientBytes+metrics.Name("_"+name), func() any { _, bytes := l.Held(); return bytes })
}
