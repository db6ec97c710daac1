package replica

import (
	"math"

	"peridotpier.example/core/deploy"
)

// model is the state of one model during planning.
type model struct {
	name          string
	demand        Demand
	requested     bool                   // somebody has asked for the model
	prior         float64                // assumed load while nobody has asked for the model
	loadSeconds   [FromStore + 1]float64 // load time by source
	weightsMB     float64
	replicas      int     // ready or being loaded
	readyReplicas int     // replicas that requests can be sent to
	unavailable   float64 // engines that rate limits withhold from the replicas
}

// expectedLoad returns the engine load of the model, observed or assumed.
func (m *model) expectedLoad() float64 { return max(m.demand.EngineLoad, m.prior) }

// minEngines is the minimum number of engines that a model's replicas are assumed
// to provide together.
const minEngines = 0.05

// pressure returns the expected load divided by the engines that the replicas
// provide.
func (m *model) pressure() float64 { return m.pressureWith(m.replicas, m.unavailable) }

// pressureWith returns the pressure with n replicas, from which rate limits
// withhold the given number of engines.
func (m *model) pressureWith(n int, unavailable float64) float64 {
	switch {
	case n > 0:
		return m.expectedLoad() / max(float64(n)-unavailable, minEngines)
	case m.demand.Unserved && m.demand.WaitsForLoad:
		return waitingModelSeconds / max(m.loadSeconds[FromDisk], minLoadSeconds)
	case m.demand.Unserved || m.demand.EngineLoad > 0:
		return math.Inf(1)
	default:
		return noReplicaWeight * m.expectedLoad()
	}
}

// isIdle reports whether nobody asks for the model now.
func (m *model) isIdle() bool { return !m.requested || m.demand.EngineLoad == 0 && !m.demand.Unserved }

// gain returns the seconds of engine time, each second, that one more replica
// would provide to callers whom the other replicas cannot serve.
func (m *model) gain() float64 {
	return min(max(m.demand.EngineLoad-(float64(m.replicas)-m.unavailable), 0), 1)
}

// upstream is the state of an Upstream during planning; residents are those at the
// start.
type upstream struct {
	*Upstream
	residents []resident
	moved     bool
}

// resident is a model at an upstream, with the state of that model.
type resident struct {
	*Resident
	model *model
}

func (u *upstream) hasResident(m *model) bool {
	for i := range u.residents {
		if u.residents[i].model == m {
			return true
		}
	}
	return false
}

func (u *upstream) source(name string) Source {
	switch {
	case u.InMemory[name]:
		return FromMemory
	case u.OnDisk[name]:
		return FromDisk
	default:
		return FromStore
	}
}

// expectedLoad returns the engine load that the models at the upstream cause
// there, if each spreads its load evenly over its replicas.
func (u *upstream) expectedLoad() float64 {
	sum := 0.0
	for i := range u.residents {
		m := u.residents[i].model
		sum += m.expectedLoad() / float64(max(m.replicas, 1))
	}
	return sum
}

// state is the snapshot with the moves planned so far applied. Names are looked up
// once, when it is made: a plan compares hundreds of models with the residents of
// hundreds of upstreams.
type state struct {
	someWaitForLoad      bool
	maxCallerWaitSeconds float64
	models               []*model // of the deployment, in its order
	byName               map[string]*model
	upstreams            []upstream // only the usable ones
	storeLoadsLeft       int
}

func newState(in *Input) *state {
	s := &state{someWaitForLoad: in.SomeWaitForLoad, maxCallerWaitSeconds: in.MaxCallerWait.Seconds(), byName: make(map[string]*model, len(in.Engine.Models)), storeLoadsLeft: in.StoreLoadsLeft}
	for i := range in.Engine.Models {
		m := s.findOrAddModel(in, in.Engine.Models[i].Name)
		m.applySpec(&in.Engine.Models[i])
		s.models = append(s.models, m)
	}
	s.upstreams = make([]upstream, 0, len(in.Upstreams))
	for i := range in.Upstreams {
		if in.Upstreams[i].Usable {
			s.addUpstream(in, &in.Upstreams[i])
		}
	}
	return s
}

// applySpec sets the figures that the deployment gives for a model.
func (m *model) applySpec(spec *deploy.Model) {
	m.weightsMB = spec.WeightsMB
	for from := range m.loadSeconds {
		m.loadSeconds[from] = loadTime(spec, Source(from)).Seconds()
	}
}

// addUpstream adds an upstream and counts its residents as replicas.
func (s *state) addUpstream(in *Input, u *Upstream) {
	added := upstream{Upstream: u, residents: make([]resident, len(u.Residents))}
	for i := range u.Residents {
		m := s.findOrAddModel(in, u.Residents[i].Model)
		added.residents[i] = resident{&u.Residents[i], m}
		m.replicas++
		m.unavailable += u.unavailable()
		if u.Residents[i].Ready {
			m.readyReplicas++
		}
	}
	s.upstreams = append(s.upstreams, added)
}

// findOrAddModel returns a model by name, adding it if the deployment no longer
// lists it.
func (s *state) findOrAddModel(in *Input, name string) *model {
	m := s.byName[name]
	if m == nil {
		m = &model{name: name, prior: in.PriorLoad[name]}
		m.demand, m.requested = in.Demand[name]
		s.byName[name] = m
	}
	return m
}

// apply applies a chosen move to the state.
func (s *state) apply(c *choice) {
	c.upstream.moved = true
	c.load.replicas++
	c.load.unavailable += c.upstream.unavailable()
	if c.unload != nil {
		c.unload.replicas--
		c.unload.readyReplicas--
		c.unload.unavailable -= c.upstream.unavailable()
	}
	if c.from == FromStore {
		s.storeLoadsLeft--
	}
}

// choice is a move that was chosen.
type choice struct {
	upstream *upstream
	unload   *model // nil: no unload
	load     *model
	from     Source
}

func (c *choice) move() Move {
	m := Move{Upstream: c.upstream.ID, Load: c.load.name, From: c.from}
	if c.unload != nil {
		m.Unload = c.unload.name
	}
	return m
}
