package gate

import (
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// defaultLendLimit is the number of forwarded requests that a host without a stated limit
// takes at once.
const defaultLendLimit = 256

// lender counts the requests that other hosts forwarded here.
type lender struct {
	limit int64
	taken atomic.Int64
}

// take counts a request; false means that the limit is reached.
func (l *lender) take() bool {
	if l.taken.Add(1) <= l.limit {
		return true
	}
	l.taken.Add(-1)
	return false
}

func (l *lender) done() { l.taken.Add(-1) }

// ServeForwarded serves the requests that other hosts forward to this one, which reach
// no upstream themselves. They are sent to an upstream as those of this host's callers,
// and never forwarded to a third host.
func (g *Gate) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	h, ok := takeHop(r.Header)
	q := g.newRequest(w, r, h)
	why := g.lendRefusal(h, ok)
	if why == "" && !g.lender.take() {
		why = whyLendLimit
	}
	if why != "" {
		g.deps.Metrics.CountKind(metrics.DetoursRefused, why, 1)
		g.deps.Log.Emit(event.DetourRefused, q.id(), q.entryHost(), zap.String("why", why), zap.Int64("taken", g.lender.taken.Load()), zap.Uint64("version", h.version))
		if why == whyStopping {
			w.Header().Set("Connection", "close")
		}
		q.refuse(why, stopRetry)
		return
	}
	defer g.lender.done()
	g.deps.Metrics.Count(metrics.DetoursTaken, 1)
	g.deps.Log.Emit(event.DetourTaken, q.id(), q.entryHost(), zap.Int64("taken", g.lender.taken.Load()), zap.Int("sends", h.sends), zap.Uint64("version", h.version))
	g.serve(q)
}

// lendRefusal returns why this host does not take a forwarded request; "": it may. A
// configuration older than that of the entry host may lack the request's route, or allow
// what the newer one forbids.
func (g *Gate) lendRefusal(h *hop, forwarded bool) string {
	d := &g.deps
	table := d.Config.Current()
	switch {
	case !forwarded:
		return whyNotAHop
	case d.Draining(), d.RejectsNew(), d.StopContext.Err() != nil:
		return whyStopping
	case table == nil:
		return whyNoConfig
	case table.Config.Version < h.version:
		return whyOldConfig
	case d.Detour != nil && d.Detour.Needed():
		return whyCutOff
	}
	return ""
}
