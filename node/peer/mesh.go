// Package peer lets the entry hosts act as one: each keeps links to a bounded
// set of others and passes on what is news: hosts that come, go or cannot be
// reached, upstreams that leave or change what they hold, and the version of
// the configuration. docs/design/peers.md tells why.
package peer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/member"
	"peridotpier.example/node/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/peer/peerpb"
	"peridotpier.example/node/query"
	"peridotpier.example/node/store"
)

// Defaults of Config.
const (
	defaultHeartbeatInterval = 2 * time.Second  // with three missed, a dead link is noticed in 6 s
	defaultHostListInterval  = 10 * time.Second // 420 hosts then take 42 of 2,000 reads a second
	defaultLocalLinks        = 3                // links dialled within the data centre; as many again come in
	defaultRemoteLinks       = 3                // links dialled to other data centres
)

// Config bounds a Mesh; zero values take the defaults.
type Config struct {
	Self              member.Host // name, address, data centre, process
	HeartbeatInterval time.Duration
	HostListInterval  time.Duration // between two looks at the platform's list
	LocalLinks        int
	RemoteLinks       int
}

// Deps are what a Mesh works with. The functions must not block.
type Deps struct {
	Hosts       store.Hosts
	Config      *query.ConfigReader
	Requests    *inflight.Registry
	CancelCause error // cause for requests cancelled through a peer
	Dial        Dial
	Log         *event.Log
	Now         func() time.Time
	// Upstream is told each word that was news, wherever it came from.
	OnUpstreamChange func(member.Upstream)
	// Changed is told when the hosts that count changed.
	OnHostsChange func()
	// Usage sums up over all hosts; nil: this host takes no part.
	Usage *UsageExchange
	// Claims are kept here for other hosts; nil: for none.
	Claims claim.Records
	// Forecast tells what a preset would move in the pools that this host
	// plans; no data when it plans none. nil: it never does.
	Forecast func(ctx context.Context, preset string) ([]byte, error)
}

// Mesh is one host's part of the net of links. Lock order: mu, then a link's.
type Mesh struct {
	cfg        Config
	deps       Deps
	now        func() time.Time
	conns      *connPool
	wake       chan struct{} // asks for a look at the links
	timestamps timestamps

	mu            sync.Mutex
	self          member.Host
	hosts         *member.Hosts
	upstreams     *member.Upstreams
	links         map[*link]struct{}
	dialing       map[string]bool
	excludedUntil map[string]time.Time // could not be dialled: not chosen again until then
	suspicions    map[string]suspicion // of other hosts by this one
	listed        map[string]store.Host
	firstListOnce sync.Once
	firstList     chan struct{} // closed when the list was read once
}

// New makes a Mesh. Serve and Run make it work.
func New(cfg Config, deps Deps) *Mesh {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	if cfg.HostListInterval == 0 {
		cfg.HostListInterval = defaultHostListInterval
	}
	if cfg.LocalLinks == 0 {
		cfg.LocalLinks = defaultLocalLinks
	}
	if cfg.RemoteLinks == 0 {
		cfg.RemoteLinks = defaultRemoteLinks
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	m := &Mesh{cfg: cfg, deps: deps, now: deps.Now, wake: make(chan struct{}, 1), hosts: member.NewHosts(),
		upstreams: member.NewUpstreams(), links: map[*link]struct{}{}, dialing: map[string]bool{},
		excludedUntil: map[string]time.Time{}, suspicions: map[string]suspicion{}, listed: map[string]store.Host{},
		firstList: make(chan struct{})}
	m.self = cfg.Self
	if m.self.Incarnation == 0 {
		m.self.Incarnation = uint64(m.now().UnixMilli())
	}
	m.hosts.Merge(m.self)
	m.conns = newConnPool(deps.Dial)
	return m
}

// Run keeps links, heartbeats and the list of hosts until ctx ends. What it
// started has ended when it returns.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { m.pollHostList(ctx); return nil })
	g.Go(func() error { m.announceConfig(ctx); return nil })
	if m.deps.Usage != nil {
		g.Go(func() error { m.shareUsage(ctx); return nil })
	}
	g.Go(func() error {
		defer m.conns.close()
		for ctx.Err() == nil {
			m.maintainLinks(ctx, g)
			m.waitForMaintenance(ctx)
		}
		return nil
	})
	return g.Wait()
}

// waitForMaintenance waits for half a heartbeat, about, or until woken.
func (m *Mesh) waitForMaintenance(ctx context.Context) {
	t := time.NewTimer(pace.DefaultRand().Jitter(m.cfg.HeartbeatInterval/2, 0.2))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.wake:
	}
}

func (m *Mesh) wakeMaintenance() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Self is this host's own record.
func (m *Mesh) Self() member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Announce tells the others this host's state.
func (m *Mesh) Announce(s member.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
	m.raiseSequenceLocked(m.self.Sequence)
}

// raiseSequenceLocked makes this host's own word newer than the given sequence.
func (m *Mesh) raiseSequenceLocked(above uint64) {
	m.self.Sequence = max(m.self.Sequence, above) + 1
	m.hosts.Merge(m.self)
	m.broadcastHostLocked(m.self, nil)
}

func (m *Mesh) broadcastHostLocked(h member.Host, except *link) {
	for l := range m.links {
		if l != except {
			l.queueHost(h)
		}
	}
}

// LiveHosts returns the hosts that count as members: those alive, this one included.
func (m *Mesh) LiveHosts() []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveLocked()
}

func (m *Mesh) liveLocked() []member.Host {
	var out []member.Host
	for _, h := range m.hosts.All() {
		if h.State == member.Alive && (h.Address != "" || h.Name == m.self.Name) {
			out = append(out, h)
		}
	}
	return out
}

// AllHosts returns every host known, and whether this host has a link to it.
func (m *Mesh) AllHosts() (hosts []member.Host, linked map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	linked = map[string]bool{}
	for l := range m.links {
		linked[l.peerName()] = true
	}
	return m.hosts.All(), linked
}

// ReportUpstream takes this host's own word on an upstream, from its report or refusal.
func (m *Mesh) ReportUpstream(u member.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeUpstreamLocked(u, nil)
}

// CurrentUpstream returns what is known of an upstream's newest process.
func (m *Mesh) CurrentUpstream(upstream string) (member.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstreams.Current(upstream)
}

// RetainUpstreams forgets those that are not in the configuration any more.
func (m *Mesh) RetainUpstreams(known func(string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstreams.Retain(known)
}

func (m *Mesh) mergeUpstreamLocked(u member.Upstream, from *link) {
	if !m.upstreams.Merge(u) {
		return
	}
	current, _ := m.upstreams.Current(u.Name)
	for l := range m.links {
		if l != from {
			l.queueUpstream(current)
		}
	}
	if m.deps.OnUpstreamChange != nil {
		m.deps.OnUpstreamChange(current)
	}
}

// handleMessage takes one message of a link.
func (m *Mesh) handleMessage(l *link, msg *peerpb.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg.From != nil {
		h := hostFromWire(msg.From)
		l.mu.Lock()
		l.peer = h
		l.mu.Unlock()
		m.mergeHostLocked(h, l)
	}
	for _, r := range msg.Hosts {
		m.mergeHostLocked(hostFromWire(r), l)
	}
	for _, w := range msg.Upstreams {
		m.mergeUpstreamLocked(upstreamFromWire(w), l)
	}
	if msg.Digest != nil {
		m.compareDigestLocked(l, msg.Digest)
	}
	if msg.Config != nil {
		m.handleConfig(l, msg.Config)
	}
}

// mergeHostLocked takes a word on a host, and passes it on if it is news.
func (m *Mesh) mergeHostLocked(h member.Host, from *link) {
	if h.Name == m.self.Name {
		m.refuteLocked(h)
		return
	}
	old, known := m.hosts.Get(h.Name)
	if !m.hosts.Merge(h) {
		return
	}
	m.broadcastHostLocked(h, from)
	if !known || old.State != h.State || old.Incarnation != h.Incarnation || old.Address != h.Address {
		m.deps.Log.Emit(event.PeerChanged, zap.String(event.FieldPeer, h.Name), zap.String("state", h.State.String()), zap.Uint64("incarnation", h.Incarnation))
		delete(m.excludedUntil, h.Name)
		m.notifyHostsChangedLocked()
	}
}

// refuteLocked answers what others say of this host. A former process of
// the same name, or a host that could not reach this one, must not stay the
// last word.
func (m *Mesh) refuteLocked(h member.Host) {
	if h.Process != m.self.Process && h.Incarnation >= m.self.Incarnation {
		// The clock of the host that ran the former process was ahead.
		m.self.Incarnation = h.Incarnation + 1
		m.raiseSequenceLocked(0)
		return
	}
	contradicted := h.Incarnation == m.self.Incarnation && h.State != m.self.State && h.Sequence >= m.self.Sequence
	if contradicted {
		m.raiseSequenceLocked(h.Sequence)
	}
}

func (m *Mesh) notifyHostsChangedLocked() {
	m.wakeMaintenance()
	if m.deps.OnHostsChange != nil {
		m.deps.OnHostsChange()
	}
}

func (m *Mesh) digest() *peerpb.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.Digest{Hosts: m.hosts.Digest(), Upstreams: m.upstreams.Digest()}
}

// compareDigestLocked sends everything when the other side knows something else.
// What was lost when a link broke is repaired by it; without it, a host could
// go on for ever with an upstream that left.
func (m *Mesh) compareDigestLocked(l *link, d *peerpb.Digest) {
	hosts, upstreams := d.Hosts != m.hosts.Digest(), d.Upstreams != m.upstreams.Digest()
	if !hosts && !upstreams || !l.mayRepair(m.now()) {
		return
	}
	if hosts {
		for _, h := range m.hosts.All() {
			l.queueHost(h)
		}
	}
	if upstreams {
		for _, u := range m.upstreams.All() {
			l.queueUpstream(u)
		}
	}
}

// MergeHost takes a word on a host that came by another way than a link.
func (m *Mesh) MergeHost(h member.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeHostLocked(h, nil)
}
