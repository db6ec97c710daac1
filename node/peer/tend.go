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
	// exclusionPeriod is how long a host that could not be dialled is not chosen again.
	exclusionPeriod = 10 * time.Second
	// minSuspectInterval and suspectMost bound the time between two words of this
	// host that the same other one is suspect; it doubles each time. If others
	// vouch for it, the fault lies between the two, and repeating the word
	// would only make it flap everywhere. If it has died since, the word must
	// not be long in coming.
	minSuspectInterval = 5 * time.Second
	maxSuspectInterval = time.Minute
	// listJitter spreads the hosts' readings of the list, as a share.
	listJitter = 0.2
	// forgetAfter is how long a host that the platform does not list is kept.
	forgetAfter = 5 * time.Minute
)

// maintainLinks opens the links that are missing, closes those not wanted any more,
// and looks after the silent and the suspect.
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
		l.cancel() // its end is looked into in ended
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

// wantedLinksLocked are the hosts to keep a link to.
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

// suspectToProbeLocked chooses one suspect host at random, every other time:
// a data centre that was cut off and comes back is found that way.
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

// dialLink opens a link and keeps it until it ends.
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

// runLink runs a link until it ends, on either side.
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

// handleLinkEnd looks into the end of a link. If the other host answers on a new
// connection, only the old one was bad, as when something between the two lost
// track of it; otherwise the host is suspect.
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
	// The context of the link has ended; the look into it is bounded instead.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if m.probe(ctx, current) && !errors.Is(err, context.Canceled) {
		m.deps.Log.Emit(event.PeerLinkLost, zap.String(event.FieldPeer, h.Name), zap.Error(err))
	}
}

// probe asks a host on a new connection whether it lives.
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

// markUnreachable calls a host suspect, unless others have just vouched for it.
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

// suspicion is how often this host called another suspect lately.
type suspicion struct {
	reportedAt  time.Time
	minInterval time.Duration
}

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

// pollHostList takes new hosts from the platform's list and forgets those
// long gone from it. The list lags: what the hosts say themselves goes first.
func (m *Mesh) pollHostList(ctx context.Context) {
	wait := m.cfg.HeartbeatInterval / 2 // until the first list is there
	for {
		if m.readHostList(ctx) {
			wait = m.cfg.HostListInterval
		}
		if !pace.Sleep(ctx, pace.DefaultRand().Jitter(wait, listJitter)) {
			return
		}
	}
}

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

// AwaitHostList waits until the platform has listed any entry host, some time at most.
func (m *Mesh) AwaitHostList(ctx context.Context, maxWait time.Duration) {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-m.firstList:
	case <-t.C:
	case <-ctx.Done():
	}
}

// mergeListedLocked takes one entry of the list. It can add a host and say that it
// leaves, never that a leaving one is back.
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

// forgetUnlistedLocked drops hosts that ended and are not listed any more.
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

// ListedHosts returns the platform's list of entry hosts as last read.
func (m *Mesh) ListedHosts() []store.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]store.Host, 0, len(m.listed))
	for _, h := range m.listed {
		out = append(out, h)
	}
	return out
}
