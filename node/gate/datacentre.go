package gate

import (
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
)

// countDataCentre counts a request for a model by whether its upstream is in this host's data
// centre, where upstreams are in more than one.
func (q *request) countDataCentre(e *fleet.Entry) {
	d := &q.g.deps
	if q.needs.Model == "" || !d.Fleet.SpansDataCentres() {
		return
	}
	kind := "other"
	if e.DataCentre() == d.Fleet.DataCentre() {
		kind = "own"
	}
	d.Metrics.CountKind(metrics.ModelRequests, kind, 1)
}
