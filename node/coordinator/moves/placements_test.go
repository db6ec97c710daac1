package moves

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/coordtest"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/metrics"
)

// Guards against an operator who cannot tell why a model is where it is, and moves back that
// nobody counts.
func TestWhereModelsAreIsShownWithTheReason(t *testing.T) {
	p := plannerSize{7, 12, 26}.planner()
	now := p.deps.Now()
	u, ok := p.upstream(coordtest.Upstream(0))
	assert.Assert(t, ok)
	d := p.deps.Demand.OfService(coordtest.Service, u.engine, now)[coordtest.Model(3)]
	d.ByDataCentre["d0"] = 0.25
	v := &activeMove{Move: replica.Move{Upstream: u.entry.ID(), Load: coordtest.Model(3), From: replica.FromDisk, Reason: replica.ForLocality}, demand: d, countedAt: now}
	p.recordMove(u, v, coordtest.Service, true)

	for _, pl := range p.Placements(now) {
		if pl.Model != coordtest.Model(3) {
			continue
		}
		assert.Assert(t, strings.Contains(pl.LastMove, "locality") && strings.Contains(pl.LastMove, "0.25 of it in d0"), pl.LastMove)
		assert.DeepEqual(t, pl.Replicas, map[string]int{"d1": 1, "d4": 1})
		assert.Assert(t, pl.Demand["d3"] > 0)
		assert.Equal(t, p.deps.Metrics.CountsByKind(metrics.ModelReturns)["locality"], int64(1))
		return
	}
	t.Fatal("the model has demand and is not shown")
}

// Guards against replicas that move to and fro: the planner is told which models left an
// upstream lately.
func TestAModelThatLeftIsRememberedForAWhile(t *testing.T) {
	p := plannerSize{7, 12, 26}.planner()
	now := p.deps.Now()
	u, _ := p.upstream(coordtest.Upstream(0))
	u.left["m"] = now.Add(-replica.DefaultPolicy.MinReturn / 2)
	u.left["n"] = now.Add(-replica.DefaultPolicy.MinReturn)
	assert.DeepEqual(t, u.snapshot(now).LeftRecently, map[string]bool{"m": true})
	assert.Equal(t, u.snapshot(now).DataCentre, "d0")
	assert.Equal(t, len(u.left), 1)
	_, shown := p.lastMoves.of(demand.Key{Service: coordtest.Service, Model: "m"})
	assert.Assert(t, !shown)
	assert.Equal(t, u.snapshot(now.Add(time.Hour)).LeftRecently == nil, true)
}
