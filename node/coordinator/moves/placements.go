package moves

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpier.example/core/replica"
	"peridotpier.example/node/coordinator/demand"
	"peridotpier.example/node/metrics"
)

// Placement is where a model is and why, for operators.
type Placement struct {
	Service  string             `json:"service"`
	Model    string             `json:"model"`
	Replicas map[string]int     `json:"replicas"`   // by data centre, those being loaded included
	Demand   map[string]float64 `json:"demand"`     // by data centre of the callers' hosts, in engines
	LastMove string             `json:"last_move"`  // "": none by this host
	MovedMs  int64              `json:"moved_ms"`   // how long ago it began; 0: none
	Lasting  int64              `json:"lasting_ms"` // how long the demand has been about the same
}

// maxPlacements bounds how many models are shown: those with the most demand.
const maxPlacements = 50

// Placements returns where the models with demand are, those with the most demand first.
func (p *Planner) Placements(now time.Time) (out []Placement) {
	table := p.deps.Config.Current()
	if table == nil {
		return nil
	}
	replicas := p.replicasByDataCentre()
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		for model, d := range p.deps.Demand.OfService(s.Name, s.Engine, now) {
			if d.EngineLoad > 0 || d.Unserved {
				out = append(out, p.placement(demand.Key{Service: s.Name, Model: model}, d, replicas, now))
			}
		}
	}
	slices.SortFunc(out, func(a, b Placement) int {
		if x, y := a.load(), b.load(); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Model, b.Model))
	})
	return out[:min(len(out), maxPlacements)]
}

func (p *Planner) placement(k demand.Key, d replica.Demand, replicas map[demand.Key]map[string]int, now time.Time) Placement {
	out := Placement{Service: k.Service, Model: k.Model, Replicas: replicas[k], Demand: d.ByDataCentre, Lasting: d.Lasting.Milliseconds()}
	if out.Demand == nil {
		out.Demand = map[string]float64{"": d.EngineLoad}
	}
	if last, ok := p.lastMoves.of(k); ok {
		out.LastMove, out.MovedMs = last.why, max(now.Sub(last.at).Milliseconds(), 1)
	}
	return out
}

func (pl *Placement) load() (sum float64) {
	for _, load := range pl.Demand {
		sum += load
	}
	return sum
}

// replicasByDataCentre counts the replicas of each model.
func (p *Planner) replicasByDataCentre() map[demand.Key]map[string]int {
	out := map[demand.Key]map[string]int{}
	for _, u := range p.allUpstreams() {
		for _, model := range u.models() {
			k := demand.Key{Service: u.entry.Service(), Model: model}
			if out[k] == nil {
				out[k] = map[string]int{}
			}
			out[k][u.entry.DataCentre()]++
		}
	}
	return out
}

// models returns the models that the upstream has resident or is loading.
func (u *managedUpstream) models() (out []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.record.ReadyResidents() {
		out = append(out, r.Model)
	}
	if u.activeMove != nil {
		out = append(out, u.activeMove.Load)
	}
	return out
}

// publishReplicas publishes how many replicas each data centre has.
func (p *Planner) publishReplicas() {
	p.deps.Metrics.SetFunc(metrics.ModelReplicas, func() any {
		sums := map[string]int{}
		for _, byDataCentre := range p.replicasByDataCentre() {
			for dataCentre, n := range byDataCentre {
				sums[dataCentre] += n
			}
		}
		return sums
	})
}

// lastMoves keeps the last move of each model, for operators. It grows with the models that
// were moved.
type lastMoves struct {
	mu  sync.Mutex
	all map[demand.Key]lastMove
}

type lastMove struct {
	at  time.Time
	why string
}

func (l *lastMoves) record(k demand.Key, m lastMove) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = map[demand.Key]lastMove{}
	}
	l.all[k] = m
}

func (l *lastMoves) of(k demand.Key) (lastMove, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.all[k]
	return m, ok
}

// leftModels are the models that an upstream unloaded lately, with the times.
type leftModels map[string]time.Time

// recent returns those that left less than period before now, and forgets the others.
func (l leftModels) recent(now time.Time, period time.Duration) map[string]bool {
	maps.DeleteFunc(l, func(_ string, at time.Time) bool { return now.Sub(at) >= period })
	if len(l) == 0 {
		return nil
	}
	out := make(map[string]bool, len(l))
	for model := range l {
		out[model] = true
	}
	return out
}
