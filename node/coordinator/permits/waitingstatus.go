package permits

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/coordinator/permits/queue"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// maxStatusTeams bounds the status: the teams with the longest queues.
const maxStatusTeams = 64

// Waiting describes which teams wait, the longest queue first.
func (p *Permits) Waiting() []queue.TeamStatus {
	all := p.teamsWaiting()
	return all[:min(len(all), maxStatusTeams)]
}

func (p *Permits) teamsWaiting() []queue.TeamStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting.Status(p.deps.Now(), askedAt)
}

func askedAt(w *request) time.Time { return w.askedAt }

// publish publishes the gauges of those who wait.
func (p *Permits) publish() {
	if p.deps.Metrics == nil {
		return
	}
	p.deps.Metrics.SetFunc(metrics.PermitsWaiting, func() any {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.waiting.Len()
	})
	p.deps.Metrics.SetFunc(metrics.PermitsTeamsWaiting, func() any { return len(p.teamsWaiting()) })
	p.deps.Metrics.SetFunc(metrics.PermitsOldestWait, func() any {
		oldest := int64(0)
		for _, t := range p.teamsWaiting() {
			oldest = max(oldest, t.OldestMs)
		}
		return oldest
	})
}

// countHopeless counts a request that was refused because it would wait in vain.
func (p *Permits) countHopeless() {
	if p.deps.Metrics != nil {
		p.deps.Metrics.Count(metrics.PermitsHopeless, 1)
	}
}

// Bounds of the lines on teams that wait because they had their share.
const (
	shareLogInterval = 5 * time.Second
	maxShareLines    = 8 // at a time: the teams with the longest queues
)

// logShares logs which teams wait because others of their rank go first.
func (p *Permits) logShares(now time.Time) {
	if p.waiting.Len() == 0 || now.Sub(p.waiting.loggedAt) < shareLogInterval {
		return
	}
	p.waiting.loggedAt = now
	lines := 0
	for _, t := range p.waiting.Status(now, askedAt) {
		if t.Team == "" || !t.HadItsShare() {
			continue
		}
		if lines++; lines > maxShareLines {
			return
		}
		p.deps.Log.Emit(event.TeamAtShare, zap.String(event.FieldTeam, t.Team), zap.String("service", t.Service), zap.Int("waiting", t.Waiting),
			zap.Int64("oldest_ms", t.OldestMs), zap.Float64("granted", t.Granted), zap.Float64("share", t.Share), zap.Float64("weight", t.Weight))
	}
}
