package replica

import (
	"sort"

	"peridotpier.example/core/deploy"
)

const (
	// priorFirst is the load to prepare for of the model that seems the most
	// likely to be asked for next, and priorDecay what each next one has of it.
	priorFirst = 0.5
	priorDecay = 0.88
)

// Priors guesses the load of models that nobody has asked for yet. The only
// hints are what the deployment says of them: adapters are made for models
// that are used, and a list begins with what its author thinks of first. A
// wrong guess costs a few loads; without any, models whose demand rises start
// from one replica, and a load from the weight store takes longer than the
// rise.
func Priors(e *deploy.Engine, asked func(model string) bool) map[string]float64 {
	order := make([]int, len(e.Models))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return e.Models[order[i]].Adapters > 0 && e.Models[order[j]].Adapters == 0 })
	out := map[string]float64{}
	load := priorFirst
	for _, i := range order {
		if m := &e.Models[i]; !asked(m.Name) {
			out[m.Name] = load * worthPreparing(m)
			load *= priorDecay
		}
	}
	return out
}

// worthPreparing is the part of a load from the weight store that a copy at
// hand saves. Where both take as long, preparing gains nothing.
func worthPreparing(m *deploy.Model) float64 {
	if m.StoreLoad <= 0 || m.DiskLoad <= 0 {
		return 0
	}
	return max(0, (m.StoreLoad-m.DiskLoad).Seconds()/m.StoreLoad.Seconds())
}
