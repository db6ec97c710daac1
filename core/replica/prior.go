package replica

import "peridotpier.example/core/deploy"

// The load to prepare for of a model that nobody has asked for yet, in engines.
const (
	// priorAdapted is above the pressure at which a model gets another replica:
	// adapters are made for models that are used.
	priorAdapted = 0.4
	// priorPlain is below it, and above what makes a model's only replica give
	// way: any of them may be the next to be asked for.
	priorPlain = 0.12
)

// Priors guesses the load of models that nobody has asked for yet. The only
// hint is what the deployment says of them: adapters are made for models that
// are used. The order of a list says nothing. A wrong guess costs a few loads;
// without any, models whose demand rises start from one replica, and a load
// from the weight store takes longer than the rise.
func Priors(e *deploy.Engine, asked func(model string) bool) map[string]float64 {
	out := map[string]float64{}
	for i := range e.Models {
		m := &e.Models[i]
		if asked(m.Name) {
			continue
		}
		load := priorPlain
		if m.Adapters > 0 {
			load = priorAdapted
		}
		out[m.Name] = load * worthPreparing(m)
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
