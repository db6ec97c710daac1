package bench

import (
	"context"
	"math"
	"slices"
)

// Spread is the mean and range of a figure over several seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// newSpread returns the spread of xs, zero without any.
func newSpread(xs []float64) Spread {
	if len(xs) == 0 {
		return Spread{}
	}
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return Spread{sum / float64(len(xs)), slices.Min(xs), slices.Max(xs)}
}

// PolicySummary has the figures of one policy over all seeds.
type PolicySummary struct {
	Policy                   string `json:"policy"`
	AttainmentPerAccelerator Spread `json:"attainment_per_accelerator"`
	Attainment               Spread `json:"attainment"`
	UrgentAttainment         Spread `json:"urgent_attainment"`
	Moves                    Spread `json:"moves"` // models that engines loaded on order
	UnreachableModels        Spread `json:"unreachable_models"`
	Overcommits              Spread `json:"overcommits"`
	// AttainmentRatio is the attainment per accelerator divided by that of the best baseline on
	// the same seed.
	AttainmentRatio Spread `json:"attainment_ratio"`
	// MoveRatio is the number of moves divided by that of the baseline with the fewest
	// moves on the same seed, among those with any; 0 if no baseline moves anything.
	MoveRatio Spread `json:"move_ratio"`
	Sound     bool   `json:"sound"` // the invariants held in every run
}

// Comparison has the results of several policies on the same seeds.
type Comparison struct {
	Site      string          `json:"site"`
	Seeds     []uint64        `json:"seeds"`
	Summaries []PolicySummary `json:"policies"`
	Runs      []*Run          `json:"runs"`
}

// Compare runs all policies for one seed, one after the other, before it goes on to the next
// seed, so that other load on the machine affects all policies alike. It calls onRun, unless
// that is nil, after each run.
func Compare(ctx context.Context, c Config, names []string, seeds []uint64, onRun func(*Run)) (*Comparison, error) {
	out := &Comparison{Site: c.Site.Deployment.Site, Seeds: seeds}
	for _, name := range names {
		if _, err := findPolicy(name); err != nil {
			return nil, err
		}
	}
	for _, seed := range seeds {
		for _, name := range names {
			c.Policy, c.Seed = name, seed
			r, err := RunPolicy(ctx, c)
			if err != nil {
				return nil, err
			}
			out.Runs = append(out.Runs, r)
			if onRun != nil {
				onRun(r)
			}
		}
	}
	for _, name := range names {
		out.Summaries = append(out.Summaries, out.summarise(name))
	}
	return out, nil
}

// summarise returns the figures of one policy over its runs.
func (c *Comparison) summarise(policy string) PolicySummary {
	var runs []*Run
	for _, r := range c.Runs {
		if r.Policy == policy {
			runs = append(runs, r)
		}
	}
	spreadOver := func(f func(*Run) float64) Spread {
		xs := make([]float64, len(runs))
		for i, r := range runs {
			xs[i] = f(r)
		}
		return newSpread(xs)
	}
	row := PolicySummary{Policy: policy, Sound: !slices.ContainsFunc(runs, func(r *Run) bool { return !r.InvariantsHold() })}
	row.AttainmentPerAccelerator = spreadOver(func(r *Run) float64 { return r.AttainmentPerAccelerator })
	row.Attainment = spreadOver(func(r *Run) float64 { return r.Attainment })
	row.UrgentAttainment = spreadOver(func(r *Run) float64 { return r.UrgentAttainment })
	row.Moves = spreadOver(func(r *Run) float64 { return float64(r.ModelLoads) })
	row.UnreachableModels = spreadOver(func(r *Run) float64 { return float64(r.UnreachableModels) })
	row.Overcommits = spreadOver(func(r *Run) float64 { return float64(r.Overcommits) })
	row.AttainmentRatio = spreadOver(func(r *Run) float64 { return ratio(r.AttainmentPerAccelerator, c.bestAttainment(r.Seed)) })
	row.MoveRatio = spreadOver(func(r *Run) float64 { return ratio(float64(r.ModelLoads), c.fewestMoves(r.Seed)) })
	return row
}

// ratio returns a/b, and 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// bestAttainment returns the attainment per accelerator of the best baseline on a seed.
func (c *Comparison) bestAttainment(seed uint64) float64 {
	best := 0.0
	for _, r := range c.Runs {
		if r.Seed == seed && isBaseline(r.Policy) {
			best = max(best, r.AttainmentPerAccelerator)
		}
	}
	return best
}

// fewestMoves returns the fewest moves of a baseline on a seed, among those with any; 0 if
// none has.
func (c *Comparison) fewestMoves(seed uint64) float64 {
	fewest := math.Inf(1)
	for _, r := range c.Runs {
		if r.Seed == seed && isBaseline(r.Policy) && r.ModelLoads > 0 {
			fewest = min(fewest, float64(r.ModelLoads))
		}
	}
	if math.IsInf(fewest, 1) {
		return 0
	}
	return fewest
}
