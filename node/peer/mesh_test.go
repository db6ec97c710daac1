package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/member"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/command"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/peer"
	"peridotpier.example/node/query"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// world is a set of hosts on a network in memory, under synctest's clock.
type world struct {
	t           *testing.T
	ctx         context.Context
	table       *standin.Table
	objects     *standin.Objects
	list        *standin.Hosts
	mu          sync.Mutex
	hosts       map[string]*host
	conns       []*memConn
	partitioned map[string]bool // hosts on the far side of a partition
}

type host struct {
	name   string
	mesh   *peer.Mesh
	config *query.ConfigReader
	store  *gateTable
	stop   context.CancelFunc
	ln     *memListener
}

// gateTable is the table service as one host sees it; the service can be made
// unreachable for that host.
type gateTable struct {
	store.Table
	unreachable atomic.Bool
}

func (g *gateTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if g.unreachable.Load() {
		return nil, store.ErrUnavailable
	}
	return g.Table.Get(ctx, keys...)
}

type memListener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *memListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }

// memConn is one end of a connection. What is written to it is lost if dropsWrites is set.
type memConn struct {
	net.Conn
	from, to    string
	mu          sync.Mutex
	dropsWrites bool
}

func (w *memConn) Write(p []byte) (int, error) {
	w.mu.Lock()
	dropped := w.dropsWrites
	w.mu.Unlock()
	if dropped {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

var errRefused = errors.New("connection refused")

func (w *world) dial(from string) peer.Dial {
	return func(_ context.Context, address string) (net.Conn, error) {
		w.mu.Lock()
		h, separated := w.hosts[address], w.partitioned[address] != w.partitioned[from]
		w.mu.Unlock()
		if h == nil || separated {
			return nil, errRefused
		}
		a, b := net.Pipe()
		near, far := &memConn{Conn: a, from: from, to: address}, &memConn{Conn: b, from: address, to: from}
		select {
		case h.ln.accept <- far:
		case <-h.ln.closed:
			return nil, errRefused
		}
		w.mu.Lock()
		w.conns = append(w.conns, near, far)
		w.mu.Unlock()
		return near, nil
	}
}

// partition separates the named hosts from the rest, and heals the previous partition;
// without names it only heals.
func (w *world) partition(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = map[string]bool{}
	for _, n := range names {
		w.partitioned[n] = true
	}
	for _, c := range w.conns {
		if w.partitioned[c.from] != w.partitioned[c.to] {
			_ = c.Conn.Close()
		}
	}
}

// dropWrites makes all open connections between two hosts drop what is written
// from now on.
func (w *world) dropWrites(a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.mu.Lock()
			c.dropsWrites = true
			c.mu.Unlock()
		}
	}
}

func newWorld(t *testing.T, names ...string) *world {
	faults := func() *standin.Faults { return standin.NewFaults(1, nil) }
	w := &world{t: t, ctx: t.Context(), table: standin.NewTable(), objects: standin.NewObjects(faults()),
		list: standin.NewHosts(faults()), hosts: map[string]*host{}}
	w.setHostList(names...)
	for _, n := range names {
		w.start(n)
	}
	return w
}

func (w *world) setHostList(names ...string) {
	var list []store.Host
	for _, n := range names {
		list = append(list, store.Host{Name: n, Address: n, DataCentre: "dc", Role: store.RoleEntry, State: store.HostLive})
	}
	w.list.Set(list...)
}

// start starts a host whose address is its name.
func (w *world) start(name string) *host {
	ctx, stop := context.WithCancel(w.ctx)
	h := &host{name: name, store: &gateTable{Table: w.table}, stop: stop,
		ln: &memListener{address: name, accept: make(chan net.Conn), closed: make(chan struct{})}}
	h.config = query.NewConfigReader(0, query.Deps{Table: h.store, Objects: w.objects})
	self := member.Host{Name: name, Address: name, DataCentre: "dc", Process: fmt.Sprintf("%s at %d", name, time.Now().UnixMilli())}
	h.mesh = peer.New(peer.Config{Self: self}, peer.Deps{Hosts: w.list, Config: h.config, Requests: inflight.New(),
		Dial: w.dial(name), Log: event.NewLog(nil)})
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	go func() { _ = h.config.Run(ctx) }()
	go func() { _ = h.mesh.Run(ctx) }()
	go func() { _ = h.mesh.Serve(ctx, h.ln) }()
	return h
}

// kill ends a host without an announcement: its connections break.
func (w *world) kill(name string) {
	w.mu.Lock()
	h := w.hosts[name]
	delete(w.hosts, name)
	for _, c := range w.conns {
		if c.from == name || c.to == name {
			_ = c.Conn.Close()
		}
	}
	w.mu.Unlock()
	_ = h.ln.Close()
	h.stop()
}

// end stops all hosts, so that no goroutines are left in the synctest bubble.
func (w *world) end() {
	for name := range w.hosts {
		w.kill(name)
	}
	time.Sleep(time.Minute)
}

func (w *world) apply() revision.Head {
	head, err := command.NewConfiguration(command.Deps{Table: w.table, Objects: w.objects}).Apply(w.ctx, command.ApplyRequest{Author: "t", Document: []byte(document)})
	assert.NilError(w.t, err)
	return head
}

const document = `{"site":"s","data_centres":["dc"],"teams":[{"name":"t","key_hashes":["5c6a1affe2cdfff806e4e6f1c1a874d158163bd79066fda4cb037244fc2e00ba"],"models":[],"services":["x"],"weight":1,"limits":{"requests_per_second":0,"concurrent":0}}],"pools":[{"name":"p","kind":"service"}],"models":[],"adapters":[],
"upstreams":[{"name":"u","pool":"p","address":"127.0.0.1:9","data_centre":"dc","max_batch":1}],"services":[{"name":"x","pool":"p","routes":[]}],
"classes":[{"class":"urgent","first_token_ms":1,"deadline_ms":1,"queue_max":1},{"class":"standard","first_token_ms":1,"deadline_ms":1,"queue_max":1},{"class":"bulk","first_token_ms":1,"deadline_ms":1,"queue_max":1}],
"presets":[{"name":"ordinary","urgent_headroom":0.1,"moves_per_minute":1,"spread_threshold":0.5,"bulk_share":0.5,"accept_bulk":true}],
"weight_store":{"loads_per_second":1,"concurrent":1,"mb_per_second":1},"limits":{"body_bytes":1,"answer_bytes":1,"claim_ttl_s":60,"retry_budget_share":0.1}}`

func (w *world) countLive(of string) int { return len(w.hosts[of].mesh.LiveHosts()) }

// Guards against callers that wait for a host that has died, and against a replaced
// host that is never used again. A host dies without an announcement while the
// platform's list still has it, and another process starts under its name and
// address. It happens if only the lagging list counts, or if the new process
// inherits the state of the dead one.
func TestDeadHostIsSuspectAndItsSuccessorIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c", "d")
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.countLive("a"), 4)
		w.kill("d")
		time.Sleep(10 * time.Second)
		for _, n := range []string{"a", "b", "c"} {
			assert.Equal(t, w.countLive(n), 3, n)
		}
		w.start("d")
		time.Sleep(20 * time.Second)
		for _, n := range []string{"a", "b", "c", "d"} {
			assert.Equal(t, w.countLive(n), 4, n)
		}
		w.end()
	})
}

// Guards against two live hosts that treat each other as dead, or never exchange
// records again. Every open connection between them becomes unresponsive without an
// error while new ones work, as when a device on the path lost their state. The end
// of a link must not count as the end of the host.
func TestUnresponsiveLinkIsReplacedAndItsHostsStayMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		time.Sleep(5 * time.Second)
		w.dropWrites("a", "b")
		for range 30 {
			time.Sleep(time.Second)
			assert.Equal(t, w.countLive("a"), 2)
			assert.Equal(t, w.countLive("b"), 2)
		}
		w.hosts["a"].mesh.ReportUpstream(member.Upstream{Name: "u", Incarnation: "1", FirstSeenMs: 1, Sequence: 1, Draining: true})
		time.Sleep(time.Second)
		u, ok := w.hosts["b"].mesh.CurrentUpstream("u")
		assert.Assert(t, ok && u.Draining)
		w.end()
	})
}

// Guards against a host that serves under an old configuration for as long as it
// cannot reach the table, because it gets the configuration from there alone. A
// change is committed through another host meanwhile.
func TestAHostWithoutTheStoreGetsTheConfigurationFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c")
		w.hosts["c"].store.unreachable.Store(true)
		time.Sleep(5 * time.Second)
		head := w.apply()
		w.hosts["a"].config.PollSoon()
		time.Sleep(5 * time.Second)
		for _, n := range []string{"a", "b", "c"} {
			st, ok := w.hosts[n].config.Current()
			assert.Assert(t, ok && st.Version == head.Version, n)
		}
		assert.Equal(t, w.hosts["c"].config.Freshness(), revision.Confirmed)
		versions := w.hosts["a"].mesh.ConfigVersions(t.Context())
		assert.DeepEqual(t, versions, map[string]uint64{"a": head.Version, "b": head.Version, "c": head.Version})
		w.end()
	})
}

// Guards against a live host that gets no share of the work because one other host,
// which cannot reach it, reports it as suspect, and no host asks it itself.
func TestSuspectHostRefutesTheSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c")
		time.Sleep(5 * time.Second)
		for _, h := range w.hosts["a"].mesh.LiveHosts() {
			if h.Name == "b" {
				h.State = member.Suspect
				w.hosts["a"].mesh.MergeHost(h)
			}
		}
		time.Sleep(5 * time.Second)
		for _, n := range []string{"a", "b", "c"} {
			assert.Equal(t, w.countLive(n), 3, n)
		}
		w.end()
	})
}

// Guards against a draining host that keeps its leases and shares until its process
// ends. It announces that it is draining and goes on to finish requests; the record
// must reach the others, and an older one must not revert it.
func TestDrainingHostStopsCountingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c")
		time.Sleep(5 * time.Second)
		w.hosts["b"].mesh.Announce(member.Draining)
		time.Sleep(time.Second)
		assert.Equal(t, w.countLive("a"), 2)
		time.Sleep(time.Minute) // the platform's list still has it as live
		assert.Equal(t, w.countLive("a"), 2)
		assert.Equal(t, w.countLive("c"), 2)
		w.end()
	})
}

// Guards against hosts that get no share of the work after their data centre was cut
// off for a while, and against later deaths of hosts that are never detected. Some
// hosts are cut off for a minute, the partition heals, and then two hosts die. Each
// side reported the other as suspect, so hosts must probe suspects again.
func TestPartitionHealsAndLaterDeathsAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
		w := newWorld(t, names...)
		time.Sleep(5 * time.Second)
		w.partition("a", "b", "c")
		time.Sleep(time.Minute)
		assert.Equal(t, w.countLive("a"), 3)
		assert.Equal(t, w.countLive("d"), 6)
		w.partition()
		time.Sleep(30 * time.Second)
		for _, n := range names {
			assert.Equal(t, w.countLive(n), 9, n)
		}
		w.kill("e")
		w.kill("b")
		time.Sleep(30 * time.Second)
		for _, n := range []string{"a", "c", "d", "f", "g", "h", "i"} {
			assert.Equal(t, w.countLive(n), 7, n)
		}
		w.end()
	})
}
