package health

// maxOutlierShare is the fraction of a service's upstreams that may be excluded
// for their error rates alone. When all of them fail alike, the cause lies
// elsewhere, and excluding them would turn some failures into no answers at all.
const maxOutlierShare = 0.34

// Outliers reports which of a service's upstreams are outliers: their failure
// share exceeds the mean of the others' by p.ErrorRateMargin or more. shares are
// those of some of its upstreams; one below 0 is based on too few answers to
// count. total is the number of upstreams that the service has; those without a
// share do not count either.
func Outliers(p Policy, shares []float64, total int) []bool {
	out := make([]bool, len(shares))
	counted, sum := 0, 0.0
	for _, s := range shares {
		if s >= 0 {
			counted++
			sum += s
		}
	}
	remaining := int(maxOutlierShare * float64(total))
	for counted > 1 && remaining > 0 {
		worst := -1
		for i, s := range shares {
			if s >= 0 && !out[i] && (worst < 0 || s > shares[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			break
		}
		othersMean := (sum - shares[worst]) / float64(counted-1)
		if shares[worst] < othersMean+p.ErrorRateMargin {
			break
		}
		out[worst] = true
		sum -= shares[worst]
		counted--
		remaining--
	}
	return out
}
