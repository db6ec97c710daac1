package deploy

import "peridotpier.example/core/quota"

// MaxWeight is the largest weight of a team; with more, its share would not differ.
const MaxWeight = 1e6

// IsWeight reports whether a number can be a team's weight.
func IsWeight(w float64) bool { return w > 0 && w <= MaxWeight }

// weightsOf returns the weights of a configuration's teams by name: the stated one, else
// the team's limit by the mean limit of the teams with the same unit, else 1. So a team
// without a limit weighs as much as a usual one, whatever the unit of the others.
func weightsOf(c *Config) map[string]float64 {
	type sum struct{ perSecond, teams float64 }
	limits := map[quota.Unit]sum{}
	for i := range c.Teams {
		if t := &c.Teams[i]; t.Limit.Limited() {
			s := limits[t.Limit.Unit]
			limits[t.Limit.Unit] = sum{s.perSecond + t.Limit.PerSecond, s.teams + 1}
		}
	}
	out := make(map[string]float64, len(c.Teams))
	for i := range c.Teams {
		t := &c.Teams[i]
		out[t.Name] = 1
		if t.Limit.Limited() {
			s := limits[t.Limit.Unit]
			out[t.Name] = t.Limit.PerSecond * s.teams / s.perSecond
		}
		if IsWeight(t.Weight) {
			out[t.Name] = t.Weight
		}
	}
	return out
}

// Weight returns a team's weight for its share of scarce capacity. A team that the
// configuration does not name, and requests without a team, have 1.
func (t *Table) Weight(team string) float64 {
	if w, ok := t.weights[team]; ok {
		return w
	}
	return 1
}
