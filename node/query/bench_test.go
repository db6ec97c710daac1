package query_test

import (
	"fmt"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/core/revision"
)

// designSize returns the configuration of the largest site: 2,500 upstreams, 720
// models and 100 teams.
func designSize() *config.Config { return sized(2500, 720, 100) }

// sized returns a configuration with 7 data centres.
func sized(upstreams, models, teams int) *config.Config {
	c := &config.Config{Site: "design", Pools: []config.Pool{{Name: "lm", Kind: config.KindEngine}},
		WeightStore: config.WeightStore{LoadsPerSecond: 10, Concurrent: 100, MBPerSecond: 4000},
		Limits:      config.Limits{BodyBytes: 1 << 20, AnswerBytes: 1 << 20, ClaimTTLSeconds: 86400, RetryBudgetShare: 0.1},
		Presets:     []config.Preset{{Name: "ordinary"}, {Name: "peak"}, {Name: "maintenance"}}}
	for i := range 7 {
		c.DataCentres = append(c.DataCentres, fmt.Sprint("dc", i))
	}
	for _, k := range []class.Class{class.Urgent, class.Standard, class.Bulk} {
		c.Classes = append(c.Classes, config.ClassRule{Class: k, FirstTokenMs: 610, DeadlineMs: 60000, MaxQueue: 100})
	}
	for i := range models {
		c.Models = append(c.Models, config.Model{Name: fmt.Sprint("model-", i), Pool: "lm", Version: "1",
			MemoryMB: 5000 + 100*(i%300), MinReplicas: 1, InitialReplicas: 1, TokensPerSecond: 100})
	}
	for i := range upstreams {
		c.Upstreams = append(c.Upstreams, config.Upstream{Name: fmt.Sprint("runner-", i), Pool: "lm",
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1), DataCentre: fmt.Sprint("dc", i%7),
			Accelerators: 4, MemoryMB: 300000, MaxBatch: 64, Fencing: config.FencingChecked})
	}
	for i := range teams {
		name := fmt.Sprint("team-", i)
		c.Teams = append(c.Teams, config.Team{Name: name, KeyHashes: []string{revision.Digest([]byte(name))},
			Models: []string{config.Wildcard}, Weight: 10})
	}
	return c
}
