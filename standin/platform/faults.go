package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"peridotpier.example/node/store"
)

// Settings are the limits and faults of one stand-in service. The zero value
// is a service without limits or faults. Shares are from 0 to 1.
type Settings struct {
	Outage          bool
	Delay           time.Duration // added to every call
	LostAnswers     float64       // of writes: took effect, answered ErrInDoubt
	LostRequests    float64       // of writes: no effect, answered ErrInDoubt
	LateEffects     float64       // of writes: answered ErrInDoubt, takes effect LateBy later
	LateEffectDelay time.Duration
	WritesPerSecond float64 // 0: no limit
	ReadsPerSecond  float64 // 0: no limit
}

// Faults decides the fate of each call on a service. It may be changed at run
// time and is safe for concurrent use.
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

// NewFaults makes a service without faults; seed fixes later draws and now is
// its clock (nil: time.Now).
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

// Update changes some of the settings.
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

// LoseAnswers makes a share of the writes take effect and be answered as in doubt.
func (f *Faults) LoseAnswers(share float64) {
	f.Update(func(s *Settings) { s.LostAnswers = share })
}

// Writes returns the number of write calls so far, refused ones included.
func (f *Faults) Writes() int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.writeCount }

// Reads returns the number of read calls so far, refused ones included.
func (f *Faults) Reads() int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.readCount }

// burstShare is the part of a second's rate that may come at once.
const burstShare = 0.1

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstShare)))
}

// outcome is what becomes of one write.
type outcome uint8

const (
	outcomeApplied outcome = iota
	outcomeLostAnswer
	outcomeLostRequest
	outcomeLateEffect
)

// admitRead lets a read pass, after the delay, or refuses it.
func (f *Faults) admitRead(ctx context.Context) error {
	f.mu.Lock()
	f.readCount++
	delay, err := f.admit(f.reads)
	f.mu.Unlock()
	return firstError(pause(ctx, delay), err)
}

// admitWrite draws a write's fate, after the delay, or refuses it.
func (f *Faults) admitWrite(ctx context.Context) (outcome, time.Duration, error) {
	f.mu.Lock()
	f.writeCount++
	delay, err := f.admit(f.writes)
	drawn, late := f.drawOutcome(), f.settings.LateEffectDelay
	f.mu.Unlock()
	return drawn, late, firstError(pause(ctx, delay), err)
}

// admit checks outage and limit. The caller holds mu.
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

// drawOutcome picks a write's fate. The caller holds mu.
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

// pause waits for d. A caller that gave up meanwhile was not served: the
// request counts as never having reached the service.
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
