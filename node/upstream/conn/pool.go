package conn

import (
	"context"
	"net"
	"sync"
	"time"
)

// pool keeps the idle connections to one address.
type pool struct {
	address        string
	mu             sync.Mutex
	idle           []*persistConn // most recently used last
	sent           sentRequests   // to the address, over any connection
	gen            uint64         // connections of an older generation are not reused
	checkScheduled bool           // a timer will close connections that cannot be reused
	observedBound  time.Duration  // bound on the idle time, derived from connections that the upstream dropped; 0 if none
}

// recordSend records a send of a request and reports whether it was sent before.
func (p *pool) recordSend(id string, now time.Time) (again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent.add(id, now)
}

// takeIdle returns the most recently used connection that may still be reused, or
// nil. It closes the others that it comes across.
func (p *pool) takeIdle(now time.Time, maxIdle time.Duration) *persistConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		l.idleBefore = now.Sub(l.idleSince)
		if p.sent.remembersSince(l.dialled) && l.idleBefore <= p.idleBound(l, maxIdle) && isClean(l.nc) {
			return l
		}
		_ = l.nc.Close()
	}
	return nil
}

// idleBound returns how long l may be idle and still be reused.
func (p *pool) idleBound(l *persistConn, maxIdle time.Duration) time.Duration {
	if l.statedIdle > 0 {
		maxIdle = l.statedIdle
	}
	if p.observedBound > 0 {
		maxIdle = min(maxIdle, p.observedBound)
	}
	return maxIdle
}

// droppedIdleShare is the share of a dropped connection's idle time for which other
// connections to the same upstream may still be idle.
const droppedIdleShare = 0.5

// minIdleBound is the least value of an observed bound; it keeps connections
// reusable between requests in close succession.
const minIdleBound = 50 * time.Millisecond

// recordDropped records that the upstream dropped a connection after the given idle
// time, and lowers the bound for the others. The request sent on the dropped
// connection may have run and cannot be sent again; a lower bound makes the same
// failure less likely for later requests.
func (p *pool) recordDropped(idle, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observedBound == 0 {
		p.observedBound = maxIdle
	}
	p.observedBound = max(min(p.observedBound, time.Duration(float64(idle)*droppedIdleShare)), minIdleBound)
}

// put returns a connection to the pool after its exchange ended cleanly.
func (p *pool) put(l *persistConn, now time.Time, cfg Config, stated time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.gen != p.gen || len(p.idle) >= cfg.MaxIdleConns {
		_ = l.nc.Close()
		return
	}
	l.shrinkBuffer()
	l.idleSince, l.statedIdle = now, stated
	p.idle = append(p.idle, l)
	p.scheduleCheckLocked(cfg.MaxIdleTime)
}

// checkInterval is how often idle connections are checked: how long one stays open on which
// bytes came that no request asked for. A check takes about a microsecond.
const checkInterval = 250 * time.Millisecond

// scheduleCheckLocked starts a timer that closes the connections that cannot be reused, unless
// one runs. The most recently used connection is reused first, so the others would never be
// checked again after a burst and would pile up half closed. p.mu is held.
func (p *pool) scheduleCheckLocked(maxIdle time.Duration) {
	if p.checkScheduled || len(p.idle) == 0 {
		return
	}
	p.checkScheduled = true
	time.AfterFunc(min(checkInterval, maxIdle), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checkScheduled = false
		p.closeUnusableLocked(time.Now(), maxIdle)
		p.scheduleCheckLocked(maxIdle)
	})
}

// closeUnusableLocked closes the connections that were idle for too long, that were closed by
// the upstream, or on which bytes came. p.mu is held.
func (p *pool) closeUnusableLocked(now time.Time, maxIdle time.Duration) {
	kept := p.idle[:0]
	for _, l := range p.idle {
		if now.Sub(l.idleSince) >= p.idleBound(l, maxIdle) || !isClean(l.nc) {
			_ = l.nc.Close()
			continue
		}
		kept = append(kept, l)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// hasIdle reports whether the pool has a connection that could be reused.
func (p *pool) hasIdle(now time.Time, maxIdle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now.Sub(p.idle[n-1].idleSince) < p.idleBound(p.idle[n-1], maxIdle)
}

// retire closes the idle connections and keeps those in use from returning to the pool.
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

// dial opens a connection of the pool's current generation.
func (p *pool) dial(ctx context.Context, d Dialer, timeout time.Duration) (*persistConn, error) {
	gen := p.generation()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newPersistConn(nc, p, gen), nil
}

// Dialer opens connections; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
