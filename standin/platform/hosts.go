package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotpier.example/node/store"
)

// Hosts is the list of hosts of the platform, which shows each change only after
// its lag.
type Hosts struct {
	Faults *Faults

	mu      sync.Mutex
	lag     time.Duration
	history []hostList // oldest first
}

type hostList struct {
	at    time.Time
	hosts []store.Host
}

// NewHosts returns a list under f that shows hosts at once, without lag.
func NewHosts(f *Faults, hosts ...store.Host) *Hosts {
	return &Hosts{Faults: f, history: []hostList{{hosts: slices.Clone(hosts)}}}
}

// SetLag sets the time after which the list shows a change.
func (h *Hosts) SetLag(d time.Duration) { h.mu.Lock(); h.lag = d; h.mu.Unlock() }

// Set replaces the hosts; readers see the change after the lag.
func (h *Hosts) Set(hosts ...store.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(slices.Clone(hosts))
}

// SetState changes the state of one host.
func (h *Hosts) SetState(name string, s store.HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := slices.Clone(h.history[len(h.history)-1].hosts)
	for i := range hosts {
		if hosts[i].Name == name {
			hosts[i].State = s
		}
	}
	h.add(hosts)
}

func (h *Hosts) add(hosts []store.Host) {
	h.history = append(h.history, hostList{at: h.Faults.now(), hosts: hosts})
}

// Hosts implements store.Hosts.
func (h *Hosts) Hosts(ctx context.Context) ([]store.Host, error) {
	if err := h.Faults.admitRead(ctx); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := h.Faults.now().Add(-h.lag)
	i := 0
	for i+1 < len(h.history) && !h.history[i+1].at.After(shown) {
		i++
	}
	return slices.Clone(h.history[i].hosts), nil
}
