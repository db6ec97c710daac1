package coordinator

import (
	"sync"
	"time"

	"peridotpier.example/core/speed"
)

// speeds measures how fast the engines of each service run each model, by the permits
// that this host grants. A new lease holder measures anew: busy models get a few dozen
// permits a second.
type speeds struct {
	mu       sync.Mutex
	models   map[modelKey]*speed.Observations
	services map[string]*speed.Observations
}

func newSpeeds() *speeds {
	return &speeds{models: map[modelKey]*speed.Observations{}, services: map[string]*speed.Observations{}}
}

// withModel calls f with the estimator of a model, under the lock.
func (s *speeds) withModel(k modelKey, f func(speed.Estimator)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.models[k] == nil {
		s.models[k] = &speed.Observations{}
	}
	if s.services[k.service] == nil {
		s.services[k.service] = &speed.Observations{}
	}
	f(speed.Estimator{Own: s.models[k], Service: s.services[k.service]})
}

// engineTime returns the engine time that requests for a model take.
func (c *Coordinator) engineTime(k modelKey, prompt, output int) (took time.Duration) {
	slots := 0
	if e := c.engine(k.service); e != nil {
		slots = e.Slots
	}
	c.speeds.withModel(k, func(m speed.Estimator) { took = m.EngineTime(prompt, output, slots) })
	return took
}
