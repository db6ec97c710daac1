package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotpier.example/node/store"
)

// Weights is the admission of loads by the weight store, in memory.
type Weights struct {
	Faults *Faults

	mu            sync.Mutex
	starts        *rate.Limiter
	maxConcurrent int
	admitted      map[string]time.Time // time of admission by load
	granted       int64
}

// NewWeights returns a weight store that admits loadsPerSecond new loads per second
// and maxConcurrent loads at once.
func NewWeights(f *Faults, loadsPerSecond float64, maxConcurrent int) *Weights {
	return &Weights{Faults: f, starts: rate.NewLimiter(rate.Limit(loadsPerSecond), 1),
		maxConcurrent: maxConcurrent, admitted: map[string]time.Time{}}
}

// retryWhenFull is the advised wait when the maximum number of loads is admitted,
// since the end of a load cannot be foreseen.
const retryWhenFull = time.Second

// AcquireLoad implements store.Weights.
func (w *Weights) AcquireLoad(ctx context.Context, load string) (time.Duration, error) {
	outcome, _, err := w.Faults.admitWrite(ctx)
	if err != nil {
		return 0, err
	}
	if outcome == outcomeLostRequest || outcome == outcomeLateEffect {
		return 0, store.ErrUnconfirmed
	}
	wait := w.admit(load, w.Faults.now())
	if outcome == outcomeLostAnswer {
		return 0, store.ErrUnconfirmed
	}
	return wait, nil
}

func (w *Weights) admit(load string, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, since := range w.admitted {
		if now.Sub(since) >= store.GrantTTL {
			delete(w.admitted, name)
		}
	}
	if _, ok := w.admitted[load]; ok {
		return 0
	}
	if len(w.admitted) >= w.maxConcurrent {
		return retryWhenFull
	}
	r := w.starts.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return d
	}
	w.admitted[load] = now
	w.granted++
	return 0
}

// ReleaseLoad implements store.Weights.
func (w *Weights) ReleaseLoad(ctx context.Context, load string) error {
	outcome, _, err := w.Faults.admitWrite(ctx)
	if err != nil {
		return err
	}
	if outcome != outcomeLostRequest && outcome != outcomeLateEffect {
		w.mu.Lock()
		delete(w.admitted, load)
		w.mu.Unlock()
	}
	if outcome != outcomeApplied {
		return store.ErrUnconfirmed
	}
	return nil
}

// Granted returns the number of loads admitted so far.
func (w *Weights) Granted() int64 { w.mu.Lock(); defer w.mu.Unlock(); return w.granted }
