package deploy

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/quota"
)

// Guards against a team that has nearly no share, or all, because its limit counts another
// unit than that of the others, or none is stated.
func TestWeightsOfTeams(t *testing.T) {
	limit := func(u quota.Unit, perSecond float64) quota.Limit {
		return quota.Limit{Unit: u, PerSecond: perSecond, Burst: 1}
	}
	table := NewTable(&Config{Teams: []Team{
		{Name: "large", Limit: limit(quota.Tokens, 30_000)}, {Name: "small", Limit: limit(quota.Tokens, 10_000)},
		{Name: "requests", Limit: limit(quota.Requests, 5)}, {Name: "unlimited"},
		{Name: "stated", Limit: limit(quota.Requests, 5), Weight: 4}, {Name: "unusable", Weight: math.Inf(1)},
	}})
	for team, want := range map[string]float64{"large": 1.5, "small": 0.5, "requests": 1, "unlimited": 1, "stated": 4, "unusable": 1, "": 1, "unknown": 1} {
		assert.Equal(t, table.Weight(team), want, team)
	}
}
