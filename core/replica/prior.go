package replica

import "peridotpier.example/core/deploy"

// The assumed load of a model that nobody has asked for yet, in engines.
const (
	// priorWithAdapters is above the pressure at which a model gets another
	// replica: adapters are made for models that are used.
	priorWithAdapters = 0.4
	// priorWithoutAdapters is below that pressure, and above the one at which a
	// model's only replica may be evicted: any of these models may be the next to
	// be asked for.
	priorWithoutAdapters = 0.12
	// maxPriorShare is the share of all engines' time that the models which nobody
	// has asked for are assumed to take together, however many they are: a
	// deployment's engines are there for its usual load and its peaks.
	maxPriorShare = 0.5
)

// PriorLoads estimates the load of models that nobody has asked for yet. The only
// evidence is whether a model has adapters: adapters are made for models that are
// used. The order of the list of models has no meaning. A wrong estimate costs a
// few loads; without any, models whose demand rises start from one replica, and a
// load from the weight store takes longer than the rise.
//
// The more models there are, the less likely each is to be the next: with 340 of
// them and 45 places, estimates made for each model alone would outweigh all
// observed demand.
func PriorLoads(e *deploy.Engine, engines int, asked func(model string) bool) map[string]float64 {
	out, sum := map[string]float64{}, 0.0
	for i := range e.Models {
		m := &e.Models[i]
		if asked(m.Name) {
			continue
		}
		load := priorWithoutAdapters
		if m.Adapters > 0 {
			load = priorWithAdapters
		}
		out[m.Name] = load * preparationBenefit(m)
		sum += out[m.Name]
	}
	if limit := maxPriorShare * float64(engines); sum > limit {
		for name := range out {
			out[name] *= limit / sum
		}
	}
	return out
}

// preparationBenefit returns the share of the load time from the weight store that
// a local copy saves. Where both take equally long, preparing gains nothing.
func preparationBenefit(m *deploy.Model) float64 {
	if m.StoreLoad <= 0 || m.DiskLoad <= 0 {
		return 0
	}
	return max(0, (m.StoreLoad-m.DiskLoad).Seconds()/m.StoreLoad.Seconds())
}
