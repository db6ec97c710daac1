package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/member"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/peer/peerpb"
	"peridotpier.example/node/store"
)

const (
	// exclusionPeriod is how long a host that could not be reached is not chosen
	// for a link again.
	exclusionPeriod = 10 * time.Second
	// minSuspectInterval and maxSuspectInterval bound the time between two
	// reports by this host that the same other host is suspect; it doubles with
	// each report. If others can reach that host, the fault lies between the two,
	// and frequent reports would only make its state flap everywhere. If it has
	// died since, the next report must not be delayed for long.
	minSuspectInterval = 5 * time.Second
	maxSuspectInterval = time.Minute
	// listJitter spreads the hosts' reads of the platform's list, as a share of
	// the interval.
	listJitter = 0.2
	// forgetAfter is how long the record of a host that the platform does not
	// list is kept.
	forgetAfter = 5 * time.Minute
)

// maintainLinks opens the links that are missing, closes those that are no longer
// wanted and those that are unresponsive, and may probe a suspect host.
func (m *Mesh) maintainLinks(ctx context.Context, g *errgroup.Group) {
	m.mu.Lock()
	wanted := m.wantedLinksLocked()
	have := map[string]bool{}
	now := m.now()
	var unresponsive []*link
	for l := range m.links {
		name := l.peerName()
		if l.dialed && name != "" && !wanted[name].wanted {
			l.cancel()
			continue
		}
		have[name] = have[name] || l.dialed
		if now.Sub(time.Unix(0, l.lastReceived.Load())) > maxMissedHeartbeats*m.cfg.HeartbeatInterval {
			unresponsive = append(unresponsive, l)
		}
	}
	var dial []member.Host
	for name, w := range wanted {
		if !have[name] && !m.dialing[name] {
			m.dialing[name] = true
			dial = append(dial, w.host)
		}
	}
	suspect := m.suspectToProbeLocked()
	m.mu.Unlock()

	for _, l := range unresponsive {
		l.cancel() // handleLinkEnd then probes the host
	}
	for _, h := range dial {
		g.Go(func() error { m.dialLink(ctx, h); return nil })
	}
	if suspect.Name != "" {
		g.Go(func() error { m.probe(ctx, suspect); return nil })
	}
}

type wantedLink struct {
	host   member.Host
	wanted bool
}

// wantedLinksLocked returns the hosts, by name, to which this host must dial a link.
func (m *Mesh) wantedLinksLocked() map[string]wantedLink {
	now := m.now()
	var candidates []member.Host
	for _, h := range m.hosts.All() {
		if h.Address != "" && now.After(m.excludedUntil[h.Name]) && h.State != member.Draining {
			candidates = append(candidates, h)
		}
	}
	out := map[string]wantedLink{}
	for _, h := range member.ChooseLinks(m.self, candidates, m.cfg.LocalLinks, m.cfg.RemoteLinks) {
		out[h.Name] = wantedLink{h, true}
	}
	return out
}

// suspectToProbeLocked chooses a suspect host at random, on average at every other
// call; otherwise it returns the zero Host. These probes detect a data centre that
// was cut off and is reachable again.
func (m *Mesh) suspectToProbeLocked() member.Host {
	var suspects []member.Host
	for _, h := range m.hosts.All() {
		if h.State == member.Suspect && h.Address != "" && h.Name != m.self.Name {
			suspects = append(suspects, h)
		}
	}
	if len(suspects) == 0 || rand.IntN(2) == 0 {
		return member.Host{}
	}
	return suspects[rand.IntN(len(suspects))]
}

// dialLink opens a link and runs it until it ends.
func (m *Mesh) dialLink(ctx context.Context, h member.Host) {
	defer func() {
		m.mu.Lock()
		delete(m.dialing, h.Name)
		m.mu.Unlock()
		m.wakeMaintenance()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := m.conns.dialNew(ctx, h.Address)
	if err != nil {
		m.markUnreachable(ctx, h, err)
		return
	}
	defer func() { _ = conn.Close() }()
	s, err := peerpb.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		m.markUnreachable(ctx, h, err)
		return
	}
	l := newLink(m, true, cancel)
	l.peer = h
	m.runLink(ctx, l, s)
}

// runLink runs a link until either side ends it.
func (m *Mesh) runLink(ctx context.Context, l *link, s stream) {
	m.mu.Lock()
	m.links[l] = struct{}{}
	m.mu.Unlock()
	var once sync.Once
	end := func() { once.Do(l.cancel) }
	var g errgroup.Group
	g.Go(func() error { defer end(); return l.send(s) })
	g.Go(func() error { defer end(); return l.receive(s) })
	err := g.Wait()
	m.mu.Lock()
	delete(m.links, l)
	m.mu.Unlock()
	m.handleLinkEnd(ctx, l, err)
}

// handleLinkEnd probes the other host after a link has ended unexpectedly. If the
// host answers on a new connection, only the old connection was broken, for example
// by a device on the path that lost its state; otherwise the host is suspect.
func (m *Mesh) handleLinkEnd(ctx context.Context, l *link, err error) {
	l.mu.Lock()
	h := l.peer
	l.mu.Unlock()
	m.mu.Lock()
	current, known := m.hosts.Get(h.Name)
	expected := !known || current.State == member.Draining || current.State == member.Terminated || m.self.State != member.Alive
	m.mu.Unlock()
	if expected || h.Name == "" {
		return
	}
	// The context of the link has ended, so the probe gets a timeout of its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if m.probe(ctx, current) && !errors.Is(err, context.Canceled) {
		m.deps.Log.Emit(event.PeerLinkLost, zap.String(event.FieldPeer, h.Name), zap.Error(err))
	}
}

// probe asks a host for its record on a new connection, and reports whether it
// answered.
func (m *Mesh) probe(ctx context.Context, h member.Host) bool {
	r, err := m.conns.probe(ctx, h)
	if err != nil {
		m.markUnreachable(ctx, h, err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeHostLocked(hostFromWire(r), nil)
	return true
}

// markUnreachable excludes a host from links for a while and reports it as suspect,
// unless this host has done so too recently.
func (m *Mesh) markUnreachable(ctx context.Context, h member.Host, err error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.excludedUntil[h.Name] = now.Add(exclusionPeriod)
	known, ok := m.hosts.Get(h.Name)
	if !ok || known.Incarnation != h.Incarnation || known.State != member.Alive || !m.maySuspectLocked(h.Name, now) {
		return
	}
	m.deps.Log.Emit(event.PeerUnreachable, zap.String(event.FieldPeer, h.Name), zap.Error(err))
	known.State = member.Suspect
	m.mergeHostLocked(known, nil)
}

// suspicion records when this host last reported another one as suspect, and the
// minimum time until it may do so again.
type suspicion struct {
	reportedAt  time.Time
	minInterval time.Duration
}

// maySuspectLocked reports whether this host may report another one as suspect now.
// If so, it records the report and doubles the interval.
func (m *Mesh) maySuspectLocked(host string, now time.Time) bool {
	s := m.suspicions[host]
	since := now.Sub(s.reportedAt)
	if since < s.minInterval {
		return false
	}
	if since > 2*maxSuspectInterval {
		s.minInterval = 0
	}
	m.suspicions[host] = suspicion{reportedAt: now, minInterval: min(max(2*s.minInterval, minSuspectInterval), maxSuspectInterval)}
	return true
}

// pollHostList adds new hosts from the platform's list and deletes those that have
// not been in it for long. The list lags, so what hosts report themselves takes
// precedence.
func (m *Mesh) pollHostList(ctx context.Context) {
	wait := m.cfg.HeartbeatInterval / 2 // until the first list was read
	for {
		if m.readHostList(ctx) {
			wait = m.cfg.HostListInterval
		}
		if !pace.Sleep(ctx, pace.DefaultRand().Jitter(wait, listJitter)) {
			return
		}
	}
}

// readHostList reads the list once and reports whether it has any entry host.
func (m *Mesh) readHostList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := m.deps.Hosts.Hosts(ctx)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	next := map[string]store.Host{}
	for _, h := range list {
		if h.Role == store.RoleEntry {
			next[h.Name] = h
			m.mergeListedLocked(h)
		}
	}
	m.forgetUnlistedLocked(next, now)
	m.listed = next
	if len(next) > 0 {
		m.firstListOnce.Do(func() { close(m.firstList) })
	}
	return len(next) > 0
}

// AwaitHostList waits until the platform has listed any entry host, for maxWait at
// most.
func (m *Mesh) AwaitHostList(ctx context.Context, maxWait time.Duration) {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-m.firstList:
	case <-t.C:
	case <-ctx.Done():
	}
}

// mergeListedLocked applies one entry of the list. It can add a host and mark a host
// as draining, but never mark a draining one as alive.
func (m *Mesh) mergeListedLocked(h store.Host) {
	old, known := m.hosts.Get(h.Name)
	switch {
	case h.Name == m.self.Name:
	case !known:
		m.mergeHostLocked(member.Host{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre}, nil)
	case old.State == member.Alive && h.State == store.HostDraining && old.Address == h.Address:
		old.State = member.Draining
		m.mergeHostLocked(old, nil)
	}
}

// forgetUnlistedLocked deletes hosts that are not alive and have not been listed for
// forgetAfter.
func (m *Mesh) forgetUnlistedLocked(list map[string]store.Host, now time.Time) {
	for _, h := range m.hosts.All() {
		_, listed := list[h.Name]
		if listed || h.Name == m.self.Name || h.State == member.Alive || len(list) == 0 {
			m.timestamps.clear("unlisted " + h.Name)
			continue
		}
		if m.timestamps.sinceFirst("unlisted "+h.Name, now) > forgetAfter {
			m.hosts.Remove(h.Name)
			delete(m.suspicions, h.Name)
			delete(m.excludedUntil, h.Name)
			m.timestamps.clear("unlisted " + h.Name)
		}
	}
}

// ListedHosts returns the platform's list of entry hosts as last read, in no
// particular order.
func (m *Mesh) ListedHosts() []store.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]store.Host, 0, len(m.listed))
	for _, h := range m.listed {
		out = append(out, h)
	}
	return out
}
