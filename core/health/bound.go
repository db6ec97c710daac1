package health

// spareShare is the part of a service that error rates alone may take out of
// use: when all of its upstreams fail alike, the fault lies elsewhere, and
// leaving them alone would turn some failures into none served.
const spareShare = 0.34

// Outliers picks, from the failure shares of some of a service's upstreams, those
// that stand out; all is how many it has. A share below 0 is one that stands on
// too few answers, as are those of the others.
func Outliers(p Policy, shares []float64, all int) []bool {
	out := make([]bool, len(shares))
	known, sum := 0, 0.0
	for _, s := range shares {
		if s >= 0 {
			known++
			sum += s
		}
	}
	room := int(spareShare * float64(all))
	for known > 1 && room > 0 {
		worst := -1
		for i, s := range shares {
			if s >= 0 && !out[i] && (worst < 0 || s > shares[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			break
		}
		rest := (sum - shares[worst]) / float64(known-1)
		if shares[worst] < rest+p.ErrorRateMargin {
			break
		}
		out[worst] = true
		sum -= shares[worst]
		known--
		room--
	}
	return out
}
