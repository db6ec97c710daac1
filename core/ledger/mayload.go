package ledger

// MayStillLoad reports whether the load of an order may still happen or is in
// progress: the order is still charged, or the artifact is reported as loading.
func (r Row) MayStillLoad(op string, a Artifact) bool {
	for _, c := range r.Charges {
		if c.Op == op {
			return true
		}
	}
	for _, m := range r.Residents {
		if m.Artifact == a && m.State == Loading {
			return true
		}
	}
	return false
}
