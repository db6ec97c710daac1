package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotpier.example/node/store"
)

// Weights is the weight store's admission in memory.
type Weights struct {
	Faults *Faults

	mu         sync.Mutex
	starts     *rate.Limiter
	concurrent int
	open       map[string]time.Time // load -> when granted
	granted    int64
}

// NewWeights allows loadsPerSecond starts and concurrent open loads at once.
func NewWeights(f *Faults, loadsPerSecond float64, concurrent int) *Weights {
	return &Weights{Faults: f, starts: rate.NewLimiter(rate.Limit(loadsPerSecond), 1),
		concurrent: concurrent, open: map[string]time.Time{}}
}

// retryFull is the advice when all places are taken, since no one knows when
// a load ends.
const retryFull = time.Second

// AcquireLoad implements store.Weights.
func (w *Weights) AcquireLoad(ctx context.Context, load string) (time.Duration, error) {
	fate, _, err := w.Faults.write(ctx)
	if err != nil {
		return 0, err
	}
	if fate == fateLostRequest || fate == fateLateEffect {
		return 0, store.ErrUnconfirmed
	}
	wait := w.grant(load, w.Faults.now())
	if fate == fateLostAnswer {
		return 0, store.ErrUnconfirmed
	}
	return wait, nil
}

func (w *Weights) grant(load string, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, since := range w.open {
		if now.Sub(since) >= store.GrantTTL {
			delete(w.open, name)
		}
	}
	if _, ok := w.open[load]; ok {
		return 0
	}
	if len(w.open) >= w.concurrent {
		return retryFull
	}
	r := w.starts.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return d
	}
	w.open[load] = now
	w.granted++
	return 0
}

// ReleaseLoad implements store.Weights.
func (w *Weights) ReleaseLoad(ctx context.Context, load string) error {
	fate, _, err := w.Faults.write(ctx)
	if err != nil {
		return err
	}
	if fate != fateLostRequest && fate != fateLateEffect {
		w.mu.Lock()
		delete(w.open, load)
		w.mu.Unlock()
	}
	if fate != fateDone {
		return store.ErrUnconfirmed
	}
	return nil
}

// Granted returns the number of loads that were granted so far.
func (w *Weights) Granted() int64 { w.mu.Lock(); defer w.mu.Unlock(); return w.granted }
