package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotpier.example/node/store"
)

// Settings holds the limits and faults of one stand-in service. The zero value is
// a service without limits and faults. Shares are from 0 to 1.
type Settings struct {
	Outage          bool
	Delay           time.Duration // added to every call
	LostAnswers     float64       // of writes: takes effect, returns ErrUnconfirmed
	LostRequests    float64       // of writes: no effect, returns ErrUnconfirmed
	LateEffects     float64       // of writes: returns ErrUnconfirmed, takes effect LateEffectDelay later
	LateEffectDelay time.Duration
	WritesPerSecond float64 // 0: no limit
	ReadsPerSecond  float64 // 0: no limit
}

// Faults decides the outcome of each call of a service. It may be changed while
// the service is in use and is safe for concurrent use.
type Faults struct {
	mu          sync.Mutex
	now         func() time.Time
	rng         *rand.Rand
	settings    Settings
	outageUntil time.Time
	writes      *rate.Limiter
	reads       *rate.Limiter
	writeCount  int64
	readCount   int64
}

// NewFaults returns Faults without limits and faults. seed determines the random
// outcomes, and now is the clock of the service (nil: time.Now).
func NewFaults(seed uint64, now func() time.Time) *Faults {
	if now == nil {
		now = time.Now
	}
	f := &Faults{now: now, rng: rand.New(rand.NewPCG(seed, seed))}
	f.Set(Settings{})
	return f
}

// Set replaces the settings.
func (f *Faults) Set(s Settings) { f.Update(func(old *Settings) { *old = s }) }

// Update changes settings in place.
func (f *Faults) Update(change func(*Settings)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.settings
	change(&f.settings)
	if f.writes == nil || old.WritesPerSecond != f.settings.WritesPerSecond {
		f.writes = limiter(f.settings.WritesPerSecond)
	}
	if f.reads == nil || old.ReadsPerSecond != f.settings.ReadsPerSecond {
		f.reads = limiter(f.settings.ReadsPerSecond)
	}
}

// StartOutage makes the service unavailable for d from now on.
func (f *Faults) StartOutage(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageUntil = f.now().Add(d)
}

// LoseAnswers makes a share of the writes take effect but return ErrUnconfirmed.
func (f *Faults) LoseAnswers(share float64) {
	f.Update(func(s *Settings) { s.LostAnswers = share })
}

// Writes returns the number of write calls so far, including refused ones.
func (f *Faults) Writes() int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.writeCount }

// Reads returns the number of read calls so far, including refused ones.
func (f *Faults) Reads() int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.readCount }

// burstShare is the burst of a limit as a share of its calls per second.
const burstShare = 0.1

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstShare)))
}

// outcome is the effect and answer of one write.
type outcome uint8

const (
	outcomeApplied outcome = iota
	outcomeLostAnswer
	outcomeLostRequest
	outcomeLateEffect
)

// admitRead returns after the delay: nil, or the error with which the read is
// refused.
func (f *Faults) admitRead(ctx context.Context) error {
	f.mu.Lock()
	f.readCount++
	delay, err := f.admit(f.reads)
	f.mu.Unlock()
	return firstError(pause(ctx, delay), err)
}

// admitWrite returns after the delay: the outcome of a write and the delay of a
// late effect, or the error with which the write is refused.
func (f *Faults) admitWrite(ctx context.Context) (outcome, time.Duration, error) {
	f.mu.Lock()
	f.writeCount++
	delay, err := f.admit(f.writes)
	drawn, late := f.drawOutcome(), f.settings.LateEffectDelay
	f.mu.Unlock()
	return drawn, late, firstError(pause(ctx, delay), err)
}

// admit checks the outage and the limit. The caller holds mu.
func (f *Faults) admit(l *rate.Limiter) (time.Duration, error) {
	now := f.now()
	if f.settings.Outage || now.Before(f.outageUntil) {
		return f.settings.Delay, store.ErrUnavailable
	}
	if !l.AllowN(now, 1) {
		return f.settings.Delay, store.ErrLimited
	}
	return f.settings.Delay, nil
}

// drawOutcome draws the outcome of a write. The caller holds mu.
func (f *Faults) drawOutcome() outcome {
	x := f.rng.Float64()
	for _, c := range []struct {
		share   float64
		outcome outcome
	}{{f.settings.LostAnswers, outcomeLostAnswer}, {f.settings.LostRequests, outcomeLostRequest}, {f.settings.LateEffects, outcomeLateEffect}} {
		if x < c.share {
			return c.outcome
		}
		x -= c.share
	}
	return outcomeApplied
}

// pause waits for d. A caller whose context ends before was not served: its
// request counts as one that never reached the service.
func pause(ctx context.Context, d time.Duration) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return store.ErrUnavailable
	case <-timer.C:
		return nil
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
