package coordinator

import (
	"sync"
	"time"

	"peridotpier.example/core/speed"
)

// speeds follows how fast the engines of each service run each model, by the
// turns that this host gives. A new holder of the lease learns it anew: busy
// models have a few dozen turns a second.
type speeds struct {
	mu       sync.Mutex
	models   map[modelKey]*speed.Observations
	services map[string]*speed.Observations
}

func newSpeeds() *speeds {
	return &speeds{models: map[modelKey]*speed.Observations{}, services: map[string]*speed.Observations{}}
}

// with calls f with what is known of a model, under the lock.
func (s *speeds) with(k modelKey, f func(speed.Estimator)) {
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

// engineTime is what requests of a model take of an engine's time.
func (c *Coordinator) engineTime(k modelKey, prompt, output int) (took time.Duration) {
	slots := 0
	if e := c.engine(k.service); e != nil {
		slots = e.Slots
	}
	c.speeds.with(k, func(m speed.Estimator) { took = m.EngineTime(prompt, output, slots) })
	return took
}
