package route

import "peridotpier.example/core/class"

// loadFilter trusts the corrected load: past a multiple of its batch that
// depends on the class, an endpoint takes no more of that class. Waiting here,
// where a request can still be refused as not run, is better than waiting in
// an engine's queue, where it cannot.
type loadFilter struct {
	maxLoad [class.Count]float64
}

func (f loadFilter) keep(e *Endpoint, r *Request) Reason {
	if e.MaxBatch > 0 && float64(e.load()) >= f.maxLoad[r.Class]*float64(e.MaxBatch) {
		return AllBusy
	}
	return Found
}
