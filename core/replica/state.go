package replica

import (
	"math"

	"peridotpier.example/core/deploy"
)

// model is one model as a plan sees it.
type model struct {
	name     string
	demand   Demand
	asked    bool    // somebody has asked for it
	prior    float64 // load to prepare for
	seconds  [FromStore + 1]float64
	weights  float64 // megabytes
	replicas int     // ready or on their way
	ready    int     // that requests can be sent to
	lacking  float64 // engines' time that the replicas do not give
}

// load is the engines' time that it brings, or may.
func (m *model) load() float64 { return max(m.demand.EngineLoad, m.prior) }

// leastGiven bounds the engines' time that replicas are taken to give.
const leastGiven = 0.05

// pressure is the load on the engines' time that its replicas give.
func (m *model) pressure() float64 { return m.pressureOf(m.replicas, m.lacking) }

// pressureOf is the same if there were n replicas, which lack so much.
func (m *model) pressureOf(n int, lacking float64) float64 {
	switch {
	case n > 0:
		return m.load() / max(float64(n)-lacking, leastGiven)
	case m.demand.Unserved && m.demand.WaitsForLoad:
		return patientSeconds / max(m.seconds[FromDisk], shortestLoad)
	case m.demand.Unserved || m.demand.EngineLoad > 0:
		return math.Inf(1)
	default:
		return nowhere * m.load()
	}
}

// idle says that nobody asks for the model now.
func (m *model) idle() bool { return !m.asked || m.demand.EngineLoad == 0 && !m.demand.Unserved }

// gain is the engine's time, each second, that one more replica would give to
// callers whom the others have no time for.
func (m *model) gain() float64 {
	return min(max(m.demand.EngineLoad-(float64(m.replicas)-m.lacking), 0), 1)
}

// upstream is an Upstream as a plan sees it, with what it held at the start.
type upstream struct {
	*Upstream
	held  []held
	moved bool
}

type held struct {
	*Resident
	model *model
}

func (u *upstream) holds(m *model) bool {
	for i := range u.held {
		if u.held[i].model == m {
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

// load is the engines' time that its models bring to it.
func (u *upstream) load() float64 {
	sum := 0.0
	for i := range u.held {
		m := u.held[i].model
		sum += m.load() / float64(max(m.replicas, 1))
	}
	return sum
}

// state follows the snapshot through the moves planned so far. Names are looked
// up once, when it is made: a plan compares hundreds of models with what
// hundreds of upstreams hold.
type state struct {
	somePatient bool
	callersWait float64  // seconds
	models      []*model // of the deployment, in its order
	byName      map[string]*model
	upstreams   []upstream // usable ones
	store       int
}

func newState(in *Input) *state {
	s := &state{somePatient: in.SomeWaitForLoad, callersWait: in.MaxCallerWait.Seconds(), byName: make(map[string]*model, len(in.Engine.Models)), store: in.StoreLoadsLeft}
	for i := range in.Engine.Models {
		m := s.model(in, in.Engine.Models[i].Name)
		m.enter(&in.Engine.Models[i])
		s.models = append(s.models, m)
	}
	s.upstreams = make([]upstream, 0, len(in.Upstreams))
	for i := range in.Upstreams {
		if in.Upstreams[i].Usable {
			s.enter(in, &in.Upstreams[i])
		}
	}
	return s
}

// enter notes what the deployment says of a model.
func (m *model) enter(spec *deploy.Model) {
	m.weights = spec.WeightsMB
	for from := range m.seconds {
		m.seconds[from] = loadTime(spec, Source(from)).Seconds()
	}
}

// enter counts what an upstream holds.
func (s *state) enter(in *Input, u *Upstream) {
	own := upstream{Upstream: u, held: make([]held, len(u.Residents))}
	for i := range u.Residents {
		m := s.model(in, u.Residents[i].Model)
		own.held[i] = held{&u.Residents[i], m}
		m.replicas++
		m.lacking += u.UnavailableShare
		if u.Residents[i].Ready {
			m.ready++
		}
	}
	s.upstreams = append(s.upstreams, own)
}

// model finds a model, or enters one that the deployment does not name any more.
func (s *state) model(in *Input, name string) *model {
	m := s.byName[name]
	if m == nil {
		m = &model{name: name, prior: in.PriorLoad[name]}
		m.demand, m.asked = in.Demand[name]
		s.byName[name] = m
	}
	return m
}

func (s *state) apply(c *choice) {
	c.at.moved = true
	c.load.replicas++
	c.load.lacking += c.at.UnavailableShare
	if c.unload != nil {
		c.unload.replicas--
		c.unload.ready--
		c.unload.lacking -= c.at.UnavailableShare
	}
	if c.from == FromStore {
		s.store--
	}
}

// choice is a move that was chosen.
type choice struct {
	at     *upstream
	unload *model // nil: none
	load   *model
	from   Source
}

func (c *choice) move() Move {
	m := Move{Upstream: c.at.ID, Load: c.load.name, From: c.from}
	if c.unload != nil {
		m.Unload = c.unload.name
	}
	return m
}
