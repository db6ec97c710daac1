package health

// maxOutlierShare is the part of a service that error rates alone may take out of
// use: when all of its upstreams fail alike, the fault lies elsewhere, and
// leaving them alone would turn some failures into none served.
const maxOutlierShare = 0.34

// Outliers picks, from the failure shares of some of a service's upstreams, those
// that stand out; all is how many it has. A share below 0 is one that stands on
// too few answers, as are those of the others.
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
