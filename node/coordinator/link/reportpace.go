package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/pace"
)

// reportPace schedules the reports.
type reportPace struct {
	mu          sync.Mutex
	lastAt      time.Time // time of the last report
	due         time.Time
	period      time.Duration
	rescheduled chan struct{} // holds a token when due was brought forward
}

func newReportPace() *reportPace {
	return &reportPace{period: wire.MinReportPeriod, rescheduled: make(chan struct{}, 1)}
}

// wait waits until the next report is due. It returns false if ctx ends before.
func (p *reportPace) wait(ctx context.Context) bool {
	for {
		left := p.remaining(time.Now())
		if left <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-p.rescheduled:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// remaining returns the time until the next report. When that is due, it schedules the
// one after it.
func (p *reportPace) remaining(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.due) {
		return p.due.Sub(now)
	}
	p.lastAt, p.due = now, now.Add(pace.DefaultRand().Jitter(p.period, reportJitter))
	return 0
}

// setPeriod sets the period of reports without urgent content.
func (p *reportPace) setPeriod(period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.period = max(period, wire.MinReportPeriod)
	p.bringForwardLocked(p.lastAt.Add(p.period))
}

func (p *reportPace) currentPeriod() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.period
}

// hasten schedules the next report at a random time within the given one, but not
// sooner than wire.MinReportPeriod after the last.
func (p *reportPace) hasten(within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now().Add(time.Duration(rand.Float64() * float64(within)))
	if soonest := p.lastAt.Add(wire.MinReportPeriod); at.Before(soonest) {
		at = soonest
	}
	p.bringForwardLocked(at)
}

// urge schedules the next report now. It is for changes that are rare.
func (p *reportPace) urge() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bringForwardLocked(time.Now())
}

func (p *reportPace) bringForwardLocked(at time.Time) {
	if !at.Before(p.due) {
		return
	}
	p.due = at
	select {
	case p.rescheduled <- struct{}{}:
	default: // wait has not seen the last token yet
	}
}
