package route

import "peridotpier.example/core/class"

// boundFilter trusts the corrected load: past a multiple of its batch that
// depends on the class, an endpoint takes no more of that class. Waiting here,
// where a request can still be refused as not run, is better than waiting in
// an engine's queue, where it cannot.
type boundFilter struct {
	bound [class.Count]float64
}

func (f boundFilter) keep(e *Endpoint, r *Request) Reason {
	if e.MaxBatch > 0 && float64(e.load()) >= f.bound[r.Class]*float64(e.MaxBatch) {
		return AllBusy
	}
	return Found
}
