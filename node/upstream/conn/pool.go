package conn

import (
	"context"
	"net"
	"sync"
	"time"
)

// pool keeps the idle connections to one address.
type pool struct {
	address  string
	mu       sync.Mutex
	idle     []*link       // newest last
	gen      uint64        // connections of an older generation are not reused
	sweeping bool          // a sweep is due
	learned  time.Duration // idle time past which this upstream was seen to drop connections; 0: not seen
}

// take returns the newest idle connection that is young enough, or nil.
func (p *pool) take(now time.Time, idleMost time.Duration) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		l.rested = now.Sub(l.idleSince)
		if l.rested <= p.bound(l, idleMost) && quiet(l.nc) {
			return l
		}
		_ = l.nc.Close()
	}
	return nil
}

// bound is how long l may have been idle to be used again.
func (p *pool) bound(l *link, idleMost time.Duration) time.Duration {
	if l.idleMost > 0 {
		idleMost = l.idleMost
	}
	if p.learned > 0 {
		idleMost = min(idleMost, p.learned)
	}
	return idleMost
}

// learnedShare is the part of the idle time at which a connection was found
// dropped that others to the same upstream may still rest.
const learnedShare = 0.5

// shortestRest keeps connections usable between requests that follow closely.
const shortestRest = 50 * time.Millisecond

// shorten learns that the upstream had dropped a connection which rested for
// that long. A request that went out on it may have run, so it cannot be sent
// again; shorter rests keep the next ones from the same fate.
func (p *pool) shorten(rested, idleMost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.learned == 0 {
		p.learned = idleMost
	}
	p.learned = max(min(p.learned, time.Duration(float64(rested)*learnedShare)), shortestRest)
}

// put keeps a connection whose exchange ended cleanly.
func (p *pool) put(l *link, now time.Time, cfg Config, stated time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.gen != p.gen || len(p.idle) >= cfg.MaxIdleConns {
		_ = l.nc.Close()
		return
	}
	l.idleSince, l.idleMost = now, stated
	p.idle = append(p.idle, l)
	p.sweepLocked(cfg.MaxIdleTime)
}

// sweepLocked closes the connections that are idle for too long, when it is
// time. The newest is reused first, so that after a burst the older ones would
// never be looked at again; one would see them pile up half closed.
func (p *pool) sweepLocked(idleMost time.Duration) {
	if p.sweeping || len(p.idle) == 0 {
		return
	}
	p.sweeping = true
	time.AfterFunc(idleMost, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sweeping = false
		now, kept := time.Now(), p.idle[:0]
		for _, l := range p.idle {
			if now.Sub(l.idleSince) >= p.bound(l, idleMost) {
				_ = l.nc.Close()
				continue
			}
			kept = append(kept, l)
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		p.sweepLocked(idleMost)
	})
}

// warm says whether a connection is there that could be used again.
func (p *pool) warm(now time.Time, idleMost time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now.Sub(p.idle[n-1].idleSince) < p.bound(p.idle[n-1], idleMost)
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
