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
	places        []*resident
	local         []localDemand // by index of the data centre; nil: not known, or there is only one
	ranks         []float64     // share of the demand by urgency, the most urgent first; nil: all alike
	meanRank      float64       // from 0, all of the most urgent rank, to 1
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

// upstream is the state of an Upstream during planning.
type upstream struct {
	*Upstream
	residents  []*resident
	moved      bool
	capacity   float64 // engines that it provides
	load       float64 // observed load of its residents there, in engines
	expected   float64 // the same with what is assumed of models that nobody has asked for
	dataCentre int     // index of its data centre
}

// resident is a model at an upstream, with the state of that model.
type resident struct {
	*Resident
	model *model
	at    *upstream
	share float64 // load of the model there, in engines
}

func (u *upstream) hasResident(m *model) bool {
	for _, r := range u.residents {
		if r.model == m {
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

// state is the snapshot with the moves planned so far applied. Names are looked up
// once, when it is made: a plan compares hundreds of models with the residents of
// hundreds of upstreams.
type state struct {
	someWaitForLoad      bool
	maxCallerWaitSeconds float64
	models               []*model // of the deployment, in its order
	byName               map[string]*model
	all                  []*model   // with those that are resident and no longer of the deployment
	upstreams            []upstream // only the usable ones
	storeLoadsLeft       int
	dataCentres          map[string]int // index by name
	ranks                int            // highest number of ranks of a model's demand
	filler               filler
	evenLoads            bool // as Policy.EvenLoads
}

func (p Policy) newState(in *Input) *state {
	s := &state{evenLoads: p.EvenLoads, dataCentres: map[string]int{}, someWaitForLoad: in.SomeWaitForLoad, maxCallerWaitSeconds: in.MaxCallerWait.Seconds(), byName: make(map[string]*model, len(in.Engine.Models)), storeLoadsLeft: in.StoreLoadsLeft}
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
	s.linkPlaces()
	s.spreadLoads()
	s.setLocalDemands()
	s.setRanks()
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
	added := upstream{Upstream: u, residents: make([]*resident, len(u.Residents), len(u.Residents)+1), capacity: max(1-u.unavailable(), minEngines)}
	all := make([]resident, len(u.Residents))
	added.dataCentre = s.dataCentreIndex(u.DataCentre)
	for i := range u.Residents {
		m := s.findOrAddModel(in, u.Residents[i].Model)
		all[i] = resident{Resident: &u.Residents[i], model: m}
		added.residents[i] = &all[i]
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
		s.all = append(s.all, m)
	}
	return m
}

// apply applies a chosen move to the state.
func (s *state) apply(c *choice) {
	c.upstream.moved = true
	if c.unload != nil {
		s.removeReplica(c.unload, c.upstream)
	}
	s.addReplica(c.load, c.upstream)
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
	reason   Reason
}

func (c *choice) move() Move {
	m := Move{Upstream: c.upstream.ID, Load: c.load.name, From: c.from, Reason: c.reason}
	if c.unload != nil {
		m.Unload = c.unload.name
	}
	return m
}
