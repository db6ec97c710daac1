package route

import "peridotpier.example/core/class"

// loadFilter applies the corrected load. Above a multiple of its batch size that depends
// on the class, an endpoint receives no more requests of that class. It is better for a
// request to wait here, where it can still be refused as not run, than in an engine's
// queue, where it cannot.
type loadFilter struct {
	maxLoad [class.Count]float64
}

func (f loadFilter) keep(e *Endpoint, r *Request) Reason {
	if e.MaxBatch > 0 && float64(e.load()) >= f.maxLoad[r.Class]*float64(e.MaxBatch) {
		return AllBusy
	}
	return Found
}
