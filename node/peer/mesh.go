// Package peer connects the entry hosts by a gossip protocol. Each host keeps links
// to a bounded number of others and forwards what changed: hosts that join, leave
// or cannot be reached, upstreams that drain or change their resident models, and
// the version of the configuration. docs/design/peers.md gives the reasons.
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
	defaultHeartbeatInterval = 2 * time.Second  // a dead link is detected after three missed heartbeats, in 6 s
	defaultHostListInterval  = 10 * time.Second // 420 hosts then use 42 of 2,000 reads a second
	defaultLocalLinks        = 3                // links dialled within the data centre; about as many are accepted
	defaultRemoteLinks       = 3                // links dialled to other data centres
)

// Config configures a Mesh. Zero values stand for the defaults.
type Config struct {
	Self              member.Host // name, address, data centre, process
	HeartbeatInterval time.Duration
	HostListInterval  time.Duration // mean time between two reads of the platform's list
	LocalLinks        int           // links dialled within the data centre
	RemoteLinks       int           // links dialled to other data centres
}

// Deps are the dependencies of a Mesh. The functions without a context must not
// block.
type Deps struct {
	Hosts       store.Hosts
	Config      *query.ConfigReader
	Requests    *inflight.Registry
	CancelCause error // cause for requests cancelled through a peer
	Dial        Dial
	Log         *event.Log
	Now         func() time.Time
	// OnUpstreamChange is called with the newest record of an upstream whenever it
	// changed, whichever host reported it. The Mesh is locked during the call; nil
	// is allowed.
	OnUpstreamChange func(member.Upstream)
	// OnHostsChange is called when a host joined or its state, process or address
	// changed. The Mesh is locked during the call; nil is allowed.
	OnHostsChange func()
	// Usage exchanges totals over all hosts; nil: this host takes no part.
	Usage *UsageExchange
	// Claims reads and writes claims on behalf of other hosts; nil: it does not.
	Claims claim.Records
	// Forecast returns what a preset would move in the pools that this host plans,
	// or no data if it plans none. nil: this host never plans.
	Forecast func(ctx context.Context, preset string) ([]byte, error)
}

// Mesh is one host's part of the network of links. It is safe for concurrent use.
// Lock order: Mesh.mu, then link.mu.
type Mesh struct {
	cfg        Config
	deps       Deps
	now        func() time.Time
	conns      *connPool
	wake       chan struct{} // triggers a check of the links
	fetches    chan configFetch
	timestamps timestamps

	mu            sync.Mutex
	self          member.Host
	hosts         *member.Hosts
	upstreams     *member.Upstreams
	links         map[*link]struct{}
	dialing       map[string]bool
	excludedUntil map[string]time.Time // hosts that could not be reached are not dialled until then
	suspicions    map[string]suspicion // reports by this host that another one is suspect
	listed        map[string]store.Host
	firstListOnce sync.Once
	firstList     chan struct{} // closed once a list with an entry host was read
}

// New returns a Mesh. The caller must run Serve and Run.
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
	m := &Mesh{cfg: cfg, deps: deps, now: deps.Now, wake: make(chan struct{}, 1), fetches: make(chan configFetch, maxQueuedFetches), hosts: member.NewHosts(),
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

// Run maintains the links, the heartbeats and the list of hosts until ctx ends. All
// goroutines that it starts have ended when it returns.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { m.pollHostList(ctx); return nil })
	g.Go(func() error { m.announceConfig(ctx); return nil })
	g.Go(func() error { m.runFetches(ctx, g); return nil })
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

// waitForMaintenance waits for about half a heartbeat interval, or until woken.
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

// Self returns this host's own record.
func (m *Mesh) Self() member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Announce sets this host's state and sends it to the other hosts.
func (m *Mesh) Announce(s member.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
	m.raiseSequenceLocked(m.self.Sequence)
}

// raiseSequenceLocked gives this host's own record a sequence above the given one
// and sends the record on all links.
func (m *Mesh) raiseSequenceLocked(above uint64) {
	m.self.Sequence = max(m.self.Sequence, above) + 1
	m.hosts.Merge(m.self)
	m.broadcastHostLocked(m.self, nil)
}

// broadcastHostLocked queues a host's record on all links but one; except may be
// nil.
func (m *Mesh) broadcastHostLocked(h member.Host, except *link) {
	for l := range m.links {
		if l != except {
			l.queueHost(h)
		}
	}
}

// LiveHosts returns the hosts that count as members: those alive, this one
// included.
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

// AllHosts returns the records of all known hosts, and the names of those to which
// this host has a link.
func (m *Mesh) AllHosts() (hosts []member.Host, linked map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	linked = map[string]bool{}
	for l := range m.links {
		linked[l.peerName()] = true
	}
	return m.hosts.All(), linked
}

// ReportUpstream adds a record that this host made itself, from an upstream's
// report or refusal, and sends it to the other hosts if it changes anything.
func (m *Mesh) ReportUpstream(u member.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeUpstreamLocked(u, nil)
}

// CurrentUpstream returns the record of an upstream's newest process.
func (m *Mesh) CurrentUpstream(upstream string) (member.Upstream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstreams.Current(upstream)
}

// RetainUpstreams deletes the records of all upstreams for which known returns
// false: they are no longer in the configuration.
func (m *Mesh) RetainUpstreams(known func(string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstreams.Retain(known)
}

// mergeUpstreamLocked adds a record of an upstream. If that changes anything, the
// record goes to all links but the one it came from, and to OnUpstreamChange.
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

// handleMessage processes one message that was received on a link.
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

// mergeHostLocked adds a record of a host, and forwards it to all links but the one
// it came from if it is newer than what was known.
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

// refuteLocked replaces a wrong record about this host by a newer one. The record of
// a former process of the same name, or that of a host that could not reach this
// one, must not remain the newest.
func (m *Mesh) refuteLocked(h member.Host) {
	if h.Process != m.self.Process && h.Incarnation >= m.self.Incarnation {
		// The former process started by a clock that was ahead of this one.
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

// compareDigestLocked sends all records on a link when the other side's digest
// differs. This repairs what was lost when a link broke; without it, a host could
// use an upstream that is draining for ever.
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

// MergeHost adds a record of a host that was not received on a link.
func (m *Mesh) MergeHost(h member.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeHostLocked(h, nil)
}
