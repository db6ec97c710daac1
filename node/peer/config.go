package peer

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
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

// maxQueuedFetches bounds the fetches that wait for Run to begin them; scheduleFetch makes
// one in fetchDelay.
const maxQueuedFetches = 1

// configFetch is a pending request for a version's document.
type configFetch struct {
	from    *link
	version uint64
}

// scheduleFetch asks a peer for a version's document after fetchDelay, unless the
// version is in force by then. While Run does not run, it keeps at most one.
func (m *Mesh) scheduleFetch(l *link, version uint64) {
	if !m.timestamps.allow("fetch", m.now(), fetchDelay) {
		return
	}
	select {
	case m.fetches <- configFetch{l, version}:
	default:
	}
}

// runFetches carries out the scheduled fetches until ctx ends, each in a goroutine of g.
func (m *Mesh) runFetches(ctx context.Context, g *errgroup.Group) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-m.fetches:
			g.Go(func() error { m.fetchConfig(ctx, f); return nil })
		}
	}
}

// fetchConfig waits for fetchDelay, then asks the peer for the document.
func (m *Mesh) fetchConfig(ctx context.Context, f configFetch) {
	if !pace.Sleep(ctx, fetchDelay) {
		return
	}
	var above uint64
	if st, ok := m.deps.Config.Current(); ok {
		above = st.Version
	}
	if above >= f.version {
		return
	}
	f.from.mu.Lock()
	address := f.from.peer.Address
	f.from.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.conns.call(callCtx, address, func(c peerpb.DRPCPeerClient) error {
		a, err := c.Configuration(callCtx, &peerpb.ConfigurationRequest{Above: above})
		if err != nil || a.Version <= above {
			return err
		}
		return m.deps.Config.Offer(a.Version, a.Snapshot)
	})
	if err != nil && ctx.Err() == nil {
		m.deps.Log.Emit(event.PeerCallFailed, zap.String(event.FieldPeer, address), zap.String("call", "configuration"), zap.Error(err))
	}
}
