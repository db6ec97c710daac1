package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// spreadOf returns the loads of upstreams once the loads of models are spread; each upstream
// lists its models.
func spreadOf(loads map[string]float64, upstreams ...[]string) (out []float64) {
	in := Input{Engine: &deploy.Engine{}, Demand: map[string]Demand{}}
	for name, load := range loads {
		in.Engine.Models = append(in.Engine.Models, deploy.Model{Name: name})
		in.Demand[name] = Demand{EngineLoad: load}
	}
	for _, models := range upstreams {
		u := Upstream{Usable: true}
		for _, m := range models {
			u.Residents = append(u.Residents, Resident{Model: m, Ready: true})
		}
		in.Upstreams = append(in.Upstreams, u)
	}
	s := DefaultPolicy.newState(&in)
	for i := range s.upstreams {
		out = append(out, s.upstreams[i].load)
	}
	return out
}

// Guards against a next replica beside busy models: an upstream whose residents have other
// replicas seems as full as one whose residents have none.
func TestTheSpreadOfLoadsFindsTheRoomThatOthersLeave(t *testing.T) {
	for _, c := range []struct {
		name      string
		loads     map[string]float64
		upstreams [][]string
		want      []float64
	}{
		{"nobody collides: even", map[string]float64{"a": 0.6, "b": 0.3}, [][]string{{"a"}, {"a", "b"}}, []float64{0.3, 0.6}},
		{"a goes where b is not", map[string]float64{"a": 0.8, "b": 0.9}, [][]string{{"a"}, {"a", "b"}}, []float64{0.8, 0.9}},
		{"a fills up to the same level", map[string]float64{"a": 1.0, "b": 0.6}, [][]string{{"a"}, {"a", "b"}}, []float64{0.8, 0.8}},
		{"along a chain", map[string]float64{"a": 0.9, "b": 0.9, "c": 0.9}, [][]string{{"a"}, {"a", "b"}, {"b", "c"}}, []float64{0.9, 0.9, 0.9}},
	} {
		for i, load := range spreadOf(c.loads, c.upstreams...) {
			assert.Assert(t, load > c.want[i]-0.15 && load < c.want[i]+0.15, "%s: upstream %d has %.2f, want %.2f", c.name, i, load, c.want[i])
		}
	}
}
