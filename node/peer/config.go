package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/peer/peerpb"
)

// fetchDelay is how long a host that received the number of a newer version tries
// the store itself before it asks the peer for the document. Asking at once would
// make peers send documents that the object store can serve better.
const fetchDelay = time.Second

// announceConfig announces each new version on all links until ctx ends.
func (m *Mesh) announceConfig(ctx context.Context) {
	var announced uint64
	for {
		st, err := m.deps.Config.Next(ctx, announced)
		if err != nil {
			return // ctx ended
		}
		announced = st.Version
		m.mu.Lock()
		for l := range m.links {
			l.queueHead()
		}
		m.mu.Unlock()
	}
}

// configUpdate returns the part of a message that describes this host's
// configuration.
func (m *Mesh) configUpdate(withHead bool) *peerpb.ConfigWord {
	w := &peerpb.ConfigWord{}
	st, ok := m.deps.Config.Current()
	if !ok {
		return w
	}
	w.Version = st.Version
	if version, age, ok := m.deps.Config.Confirmation(); ok && version == st.Version {
		w.Confirmed, w.ConfirmedAgeMs = true, uint32(min(age.Milliseconds(), 1<<31))
	}
	if withHead {
		if version, data, ok := m.deps.Config.Snapshot(false); ok && version == w.Version {
			w.Head = data
		}
	}
	return w
}

// handleConfig acts on what a peer sent about its configuration.
func (m *Mesh) handleConfig(l *link, w *peerpb.ConfigWord) {
	var own uint64
	if st, ok := m.deps.Config.Current(); ok {
		own = st.Version
	}
	switch {
	case w.Version < own:
		l.queueHead()
	case w.Version > own:
		if len(w.Head) > 0 {
			_ = m.deps.Config.Offer(w.Version, w.Head) // Offer logs its error
		} else {
			m.deps.Config.PollSoon()
		}
		m.scheduleFetch(l, w.Version)
	case w.Confirmed:
		m.deps.Config.ConfirmByPeer(w.Version, time.Duration(w.ConfirmedAgeMs)*time.Millisecond)
	}
}

// scheduleFetch asks a peer for a version's document after fetchDelay, unless the
// version is in force by then.
func (m *Mesh) scheduleFetch(l *link, version uint64) {
	if !m.timestamps.allow("fetch", m.now(), fetchDelay) {
		return
	}
	time.AfterFunc(fetchDelay, func() {
		if st, ok := m.deps.Config.Current(); ok && st.Version >= version {
			return
		}
		l.mu.Lock()
		address := l.peer.Address
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var above uint64
		if st, ok := m.deps.Config.Current(); ok {
			above = st.Version
		}
		err := m.conns.call(ctx, address, func(c peerpb.DRPCPeerClient) error {
			a, err := c.Configuration(ctx, &peerpb.ConfigurationRequest{Above: above})
			if err != nil || a.Version <= above {
				return err
			}
			return m.deps.Config.Offer(a.Version, a.Snapshot)
		})
		if err != nil {
			m.deps.Log.Emit(event.PeerCallFailed, zap.String(event.FieldPeer, address), zap.String("call", "configuration"), zap.Error(err))
		}
	})
}
