package conn

import (
	"context"
	"net"
	"sync"
	"time"
)

// pool keeps the idle connections to one address.
type pool struct {
	address         string
	mu              sync.Mutex
	idle            []*link       // newest last
	gen             uint64        // connections of an older generation are not reused
	expiryScheduled bool          // a sweep is due
	observedBound   time.Duration // idle time past which this upstream was seen to drop connections; 0: not seen
}

// takeIdle returns the newest idle connection that is young enough, or nil.
func (p *pool) takeIdle(now time.Time, maxIdle time.Duration) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		l.idleBefore = now.Sub(l.idleSince)
		if l.idleBefore <= p.idleBound(l, maxIdle) && isClean(l.nc) {
			return l
		}
		_ = l.nc.Close()
	}
	return nil
}

// idleBound is how long l may have been idle to be used again.
func (p *pool) idleBound(l *link, maxIdle time.Duration) time.Duration {
	if l.statedIdle > 0 {
		maxIdle = l.statedIdle
	}
	if p.observedBound > 0 {
		maxIdle = min(maxIdle, p.observedBound)
	}
	return maxIdle
}

// droppedIdleShare is the part of the idle time at which a connection was found
// dropped that others to the same upstream may still rest.
const droppedIdleShare = 0.5

// minIdleBound keeps connections usable between requests that follow closely.
const minIdleBound = 50 * time.Millisecond

// recordDropped learns that the upstream had dropped a connection which rested for
// that long. A request that went out on it may have run, so it cannot be sent
// again; shorter rests keep the next ones from the same fate.
func (p *pool) recordDropped(idle, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observedBound == 0 {
		p.observedBound = maxIdle
	}
	p.observedBound = max(min(p.observedBound, time.Duration(float64(idle)*droppedIdleShare)), minIdleBound)
}

// put keeps a connection whose exchange ended cleanly.
func (p *pool) put(l *link, now time.Time, cfg Config, stated time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.gen != p.gen || len(p.idle) >= cfg.MaxIdleConns {
		_ = l.nc.Close()
		return
	}
	l.idleSince, l.statedIdle = now, stated
	p.idle = append(p.idle, l)
	p.scheduleExpiryLocked(cfg.MaxIdleTime)
}

// scheduleExpiryLocked closes the connections that are idle for too long, when it is
// time. The newest is reused first, so that after a burst the older ones would
// never be looked at again; one would see them pile up half closed.
func (p *pool) scheduleExpiryLocked(maxIdle time.Duration) {
	if p.expiryScheduled || len(p.idle) == 0 {
		return
	}
	p.expiryScheduled = true
	time.AfterFunc(maxIdle, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expiryScheduled = false
		now, kept := time.Now(), p.idle[:0]
		for _, l := range p.idle {
			if now.Sub(l.idleSince) >= p.idleBound(l, maxIdle) {
				_ = l.nc.Close()
				continue
			}
			kept = append(kept, l)
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		p.scheduleExpiryLocked(maxIdle)
	})
}

// hasIdle says whether a connection is there that could be used again.
func (p *pool) hasIdle(now time.Time, maxIdle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now.Sub(p.idle[n-1].idleSince) < p.idleBound(p.idle[n-1], maxIdle)
}

// retire closes the idle connections and keeps those in use from coming back.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gen++
	for _, l := range p.idle {
		_ = l.nc.Close()
	}
	p.idle = nil
}

func (p *pool) generation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gen
}

// dial opens a connection of the pool's present generation.
func (p *pool) dial(ctx context.Context, d Dialer, timeout time.Duration) (*link, error) {
	gen := p.generation()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newLink(nc, p, gen), nil
}

// Dialer opens connections; a net.Dialer does.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
