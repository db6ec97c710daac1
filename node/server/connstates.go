package server

import (
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"peridotpier.example/node/metrics"
)

// connStates tracks the connections of a listener, for metrics and logs only.
type connStates struct {
	metrics *metrics.Set

	mu         sync.Mutex
	states     map[net.Conn]http.ConnState
	stopping   bool
	idleClosed int // closed while idle since the stop began
}

func newConnStates(set *metrics.Set) *connStates {
	c := &connStates{metrics: set, states: map[net.Conn]http.ConnState{}}
	set.SetFunc(metrics.CallersOpen, func() any { return c.counts().open })
	set.SetFunc(metrics.CallersActive, func() any { return c.counts().active })
	return c
}

// onStateChange is an http.Server.ConnState hook.
func (c *connStates) onStateChange(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prev := c.states[nc]
	switch state {
	case http.StateNew:
		c.metrics.Count(metrics.CallersAccepted, 1)
	case http.StateClosed, http.StateHijacked:
		c.metrics.CountKind(metrics.CallersClosed, prev.String(), 1)
		if c.stopping && prev == http.StateIdle {
			c.idleClosed++
		}
		delete(c.states, nc)
		return
	}
	c.states[nc] = state
}

// markStopping records that the listener is about to be shut down.
func (c *connStates) markStopping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// stateCounts are the numbers of a listener's connections by state.
type stateCounts struct {
	open       int
	active     int // a request is being read or answered
	new        int // no byte has been received
	idleClosed int // closed while idle since the stop began
}

func (c *connStates) counts() stateCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := stateCounts{open: len(c.states), idleClosed: c.idleClosed}
	for _, s := range c.states {
		switch s {
		case http.StateActive:
			n.active++
		case http.StateNew:
			n.new++
		}
	}
	return n
}

// fields returns the counts as fields of the event ProcessStopped.
func (n stateCounts) fields() []zap.Field {
	return []zap.Field{zap.Int("open", n.open), zap.Int("active", n.active), zap.Int("new", n.new), zap.Int("idle_closed", n.idleClosed)}
}
