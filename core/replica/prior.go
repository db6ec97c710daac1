package replica

import "peridotpier.example/core/deploy"

// The load to prepare for of a model that nobody has asked for yet, in engines.
const (
	// priorWithAdapters is above the pressure at which a model gets another replica:
	// adapters are made for models that are used.
	priorWithAdapters = 0.4
	// priorWithoutAdapters is below it, and above what makes a model's only replica give
	// way: any of them may be the next to be asked for.
	priorWithoutAdapters = 0.12
	// maxPriorShare is the part of all engines' time that models which nobody
	// has asked for may be expected to take together, however many there are: a
	// deployment's engines are there for its usual load and its peaks.
	maxPriorShare = 0.5
)

// PriorLoads guesses the load of models that nobody has asked for yet. The only
// hint is what the deployment says of them: adapters are made for models that
// are used. The order of a list says nothing. A wrong guess costs a few loads;
// without any, models whose demand rises start from one replica, and a load
// from the weight store takes longer than the rise.
//
// Of many models each is the less likely to be the next: with 340 of them before
// 45 places, guesses for one model at a time would outweigh all that is known.
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

// preparationBenefit is the part of a load from the weight store that a copy at
// hand saves. Where both take as long, preparing gains nothing.
func preparationBenefit(m *deploy.Model) float64 {
	if m.StoreLoad <= 0 || m.DiskLoad <= 0 {
		return 0
	}
	return max(0, (m.StoreLoad-m.DiskLoad).Seconds()/m.StoreLoad.Seconds())
}
