package host

import (
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

const (
	// lendMemoryShare is the share of the memory limit that forwarded requests may take.
	lendMemoryShare = 0.25
	// lendRequestMB is the memory of a forwarded request in MB: two connections with their
	// buffers and goroutines, and a usual body.
	lendRequestMB = 0.125
	// lendPerCore is the number of forwarded requests at once for each core of the usual
	// processor: a stream of them takes about half of it, the rest is for callers.
	lendPerCore = 1000
	// minLend is the number that any host takes.
	minLend = 16
	// hopIdleTimeout is how long a connection of another host may stay idle: longer than the
	// other host reuses it, so that no request is written to one that is being closed.
	hopIdleTimeout = 30 * time.Second
)

// lendLimit returns how many requests of other hosts' callers a host with these limits
// takes at once. Each host has its own callers first; of seven hosts, two must suffice for
// the callers of the other five.
func lendLimit(l Limits) int {
	n := float64(l.MemoryMB) * lendMemoryShare / lendRequestMB
	if cores := l.usualCores(); cores > 0 {
		n = min(n, cores*lendPerCore)
	}
	return max(int(n), minLend)
}

// listenForDetours opens the listener for requests that other hosts forward, if there is one.
func (h *Host) listenForDetours() error {
	if h.settings.Detours == "" {
		return nil
	}
	ln, err := net.Listen("tcp", h.settings.Detours)
	if err != nil {
		h.callers.closeListener()
		return eris.Wrapf(err, "listen for detours at %s", h.settings.Detours)
	}
	h.detours = newCallerServer(h.clients.Listen(ln, "detours"), http.HandlerFunc(h.gate.ServeForwarded), func() time.Duration { return hopIdleTimeout }, h.callers.conns, nil)
	return nil
}

// serveDetours adds the listener for forwarded requests to g.
func (h *Host) serveDetours(g *run.Group) {
	if h.detours != nil {
		g.Add(h.detours.serve, func(error) { h.detours.close() })
	}
}

// servers returns the servers of callers' requests, direct and forwarded ones.
func (h *Host) servers() []*callerServer {
	if h.detours == nil {
		return []*callerServer{h.callers}
	}
	return []*callerServer{h.callers, h.detours}
}

// closeExpired closes connections that were idle for too long.
func (h *Host) closeExpired(now time.Time) {
	for _, s := range h.servers() {
		s.closeExpired(now)
	}
}

func (h *Host) closeListeners() {
	for _, s := range h.servers() {
		s.closeListener()
	}
}

// drainStep closes the connections without a request and returns how many connections
// have one.
func (h *Host) drainStep() int {
	left := 0
	for _, s := range h.servers() {
		left += s.drainStep()
	}
	return left
}

// active returns the number of connections with a request.
func (h *Host) active() int {
	n := 0
	for _, s := range h.servers() {
		n += s.drain.Active()
	}
	return n
}
