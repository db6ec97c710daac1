package gate

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxHopHosts bounds the hosts that are remembered.
	maxHopHosts = 1024
	// nearHostLead is how many requests more than another host one before it in the order
	// of preference may have: a host nearby costs less, and must not get them all.
	nearHostLead = 4
)

// hopHosts holds what this host knows of those that it forwards requests to.
type hopHosts struct {
	mu    sync.Mutex
	hosts map[string]*hopHost // by address
}

// hopHost is one of them.
type hopHost struct {
	restUntil time.Time // until then it comes after the others
	inFlight  int       // requests of this host
}

// atLocked returns what is known of the host at an address.
func (h *hopHosts) atLocked(address string) *hopHost {
	if x := h.hosts[address]; x != nil {
		return x
	}
	if h.hosts == nil || len(h.hosts) >= maxHopHosts {
		h.hosts = map[string]*hopHost{}
	}
	x := &hopHost{}
	h.hosts[address] = x
	return x
}

// rest makes a host come after the others until a time.
func (h *hopHosts) rest(address string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.atLocked(address).restUntil = until
}

// begin counts a request that is forwarded to a host, until end is called.
func (h *hopHosts) begin(address string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.atLocked(address)
	x.inFlight++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		x.inFlight--
	}
}

// next returns the host to offer a request to that has not been tried: of those that do
// not rest the one with the fewest requests of this host, the earlier ones preferred. ok
// is false if all were tried.
func (h *hopHosts) next(addresses, tried []string, now time.Time) (address string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := hopHost{}
	for _, a := range addresses {
		if slices.Contains(tried, a) {
			continue
		}
		x := *h.atLocked(a)
		if !ok || x.before(&best, now) {
			address, best, ok = a, x, true
		}
	}
	return address, ok
}

// before reports whether a host is preferred to one that is earlier in the order.
func (h *hopHost) before(earlier *hopHost, now time.Time) bool {
	if rests, other := now.Before(h.restUntil), now.Before(earlier.restUntil); rests != other {
		return other
	}
	return h.inFlight+nearHostLead < earlier.inFlight
}
