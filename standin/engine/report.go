package engine

import (
	"net/http"
	"slices"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

const roleServe = "serve"

// maxLastOps bounds the number of order ids that a report lists.
const maxLastOps = 64

func (e *Engine) reportLoop() {
	tick := time.NewTicker(e.cfg.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.mu.Lock()
			e.addReport()
			e.mu.Unlock()
		case <-e.ctx.Done():
			return
		}
	}
}

// addReport adds a report of the current state and drops reports that can no
// longer be read. The caller holds mu.
func (e *Engine) addReport() {
	e.sequence++
	e.reports = append(e.reports, e.describe(e.sequence))
	for len(e.reports) > 1 && e.isVisible(e.reports[1]) {
		e.reports = e.reports[1:]
	}
}

// isVisible reports whether a report is old enough to be served.
func (e *Engine) isVisible(r engineapi.Report) bool {
	return time.Since(e.startedAt)-time.Duration(r.TakenMs)*time.Millisecond >= e.cfg.ReportLag
}

func (e *Engine) describe(sequence uint64) engineapi.Report {
	r := engineapi.Report{
		Upstream: e.cfg.Name, Incarnation: e.incarnation, Sequence: sequence, TakenMs: time.Since(e.startedAt).Milliseconds(),
		Draining: e.draining, Role: e.role, Running: len(e.batch.running), Waiting: e.batch.waitingCount(),
		MaxBatch: e.cfg.MaxBatch, MemoryMB: e.cfg.MemoryMB, UsedMB: e.usedMB(), Epoch: e.epoch, LastOps: slices.Clone(e.lastOps),
	}
	for _, res := range e.residents {
		r.Residents = append(r.Residents, res.describe())
	}
	r.Digest = engineapi.ResidentsDigest(r.Residents)
	return r
}

// Report returns the newest report that is served, which is older than the current
// state by the configured lag.
func (e *Engine) Report() engineapi.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ReportInterval == 0 {
		e.addReport()
	}
	newest := e.reports[0]
	for _, r := range e.reports[1:] {
		if e.isVisible(r) {
			newest = r
		}
	}
	return newest
}

// ActualState returns the current state without lag. Only tests and monitors may
// read it, to measure how far the view of the system differs from it; the system
// itself must not.
func (e *Engine) ActualState() engineapi.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.describe(e.sequence)
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	report := e.Report()
	e.setHeaders(w.Header())
	writeJSON(w, http.StatusOK, report.Compact(r.URL.Query().Get(engineapi.ParamResidents)))
}
