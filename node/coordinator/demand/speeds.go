package demand

import (
	"sync"
	"time"

	"peridotpier.example/core/speed"
)

// Speeds measures how fast the engines of each service run each model, by the permits
// that this host grants. A new lease holder measures anew: busy models get a few dozen
// permits a second.
type Speeds struct {
	mu       sync.Mutex
	models   map[Key]*speed.Observations
	services map[string]*speed.Observations
}

// NewSpeeds returns speeds without measurements.
func NewSpeeds() *Speeds {
	return &Speeds{models: map[Key]*speed.Observations{}, services: map[string]*speed.Observations{}}
}

// WithModel calls f with the estimator of a model, under the lock.
func (s *Speeds) WithModel(k Key, f func(speed.Estimator)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.models[k] == nil {
		s.models[k] = &speed.Observations{}
	}
	if s.services[k.Service] == nil {
		s.services[k.Service] = &speed.Observations{}
	}
	f(speed.Estimator{Own: s.models[k], Service: s.services[k.Service]})
}

// EngineTime returns the engine time that requests for a model take at an upstream that
// runs so many at a time; 0 slots: unknown.
func (s *Speeds) EngineTime(k Key, prompt, output, slots int) (took time.Duration) {
	s.WithModel(k, func(m speed.Estimator) { took = m.EngineTime(prompt, output, slots) })
	return took
}
