package local

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/node/command"
	"peridotpier.example/node/server"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
	fake "peridotpier.example/standin/platform"
)

// Dimensions of the fleet that the design is for; smaller fleets are modelled on it.
const (
	fleetModels      = 720
	fleetDataCentres = 7
	upstreamsPerPool = 60
	residentMB       = 30_000
	fleetTeams       = 60
	startBatchSize   = 20
	startBatchPause  = 2 * time.Second // between batches, so that their links are established
)

// FleetOptions are the size of a fleet and the extent of its measurement.
type FleetOptions struct {
	Nodes          int
	Upstreams      int
	SteadyDuration time.Duration // duration of the measurement of the steady state
	ChangeCount    int           // number of preset changes, and of draining upstreams, to time
	Progress       func(format string, args ...any)
}

// Fleet is a number of nodes without traffic, with upstreams that only serve reports.
type Fleet struct {
	opt         FleetOptions
	upstreams   *ReportOnlyUpstreams
	cfg         *config.Config
	table       *fake.Table
	objects     *fake.Objects
	hosts       *fake.Hosts
	peerNetwork *network
	pollNetwork *network
	nodes       []*Node
}

// FleetReport gives the resource use of a fleet and the times until its nodes notice
// changes. Traffic, reads, writes and reports are per second.
type FleetReport struct {
	Nodes                         int       `json:"nodes"`
	Upstreams                     int       `json:"upstreams"`
	DocumentBytes                 int       `json:"document_bytes"`
	StartSeconds                  float64   `json:"start_s"`                // until every node was ready
	MembersKnownSeconds           float64   `json:"members_known_s"`        // from then until every node knew every other
	PeerBytes                     float64   `json:"peer_bytes_s_node"`      // sent and received between hosts
	PollBytes                     float64   `json:"poll_bytes_s_node"`      // sent and received between nodes and upstreams
	TableReads                    float64   `json:"table_reads_s"`          // of all nodes together
	TableWrites                   float64   `json:"table_writes_s"`         // of all nodes together
	ReportsServed                 float64   `json:"reports_s"`              // of all nodes together
	CPUShare                      float64   `json:"cpu_share_node"`         // share of a core, including the share of the stand-ins
	HeapKB                        float64   `json:"heap_kb_node"`           // live heap and stacks, including those of the stand-ins
	PresetInForce                 Quantiles `json:"in_force_ms"`            // from the acceptance of a preset change, over nodes and changes
	DocumentInForce               Quantiles `json:"document_in_force_ms"`   // from the acceptance of a new document, over nodes
	DrainingKnown                 Quantiles `json:"leaving_known_ms"`       // from when an upstream starts to report that it drains, over nodes and upstreams
	KilledKnown                   Quantiles `json:"killed_known_ms"`        // until the survivors know that a tenth of the nodes was killed at once
	PresetInForceAfterKill        Quantiles `json:"in_force_after_kill_ms"` // for a preset change right after the killing
	PresetInForceAfterCut         Quantiles `json:"in_force_after_cut_ms"`  // in a data centre that was isolated, from the end of its isolation
	PresetInForceAfterStoreOutage Quantiles `json:"in_force_after_store_ms"`
	ReadyThroughStoreOutage       bool      `json:"ready_through_store_outage"`
}

// Quantiles are quantiles of measured times, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func quantiles(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[min(int(q*float64(len(times))), len(times)-1)]) / float64(time.Millisecond)
	}
	return Quantiles{at(0.5), at(0.99), at(1)}
}

// StartFleet starts a fleet and waits until every node is ready.
func StartFleet(ctx context.Context, opt FleetOptions) (*Fleet, error) {
	if opt.Progress == nil {
		opt.Progress = func(string, ...any) {}
	}
	f := &Fleet{opt: opt, peerNetwork: newNetwork(), pollNetwork: newNetwork()}
	var err error
	if f.upstreams, err = StartReportOnlyUpstreams(opt.Upstreams, fleetResidents); err != nil {
		return nil, err
	}
	f.cfg = f.newConfig()
	f.table = fake.NewTableWith(fake.NewFaults(1, nil))
	f.objects = fake.NewObjects(fake.NewFaults(1, nil))
	f.hosts = fake.NewHosts(fake.NewFaults(1, nil))
	if err := ApplyConfig(ctx, f.table, f.objects, f.cfg); err != nil {
		f.Close()
		return nil, err
	}
	for i := range opt.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	// The hosts of a real fleet have machines of their own. Starting all of them at
	// once on this machine would only show how long sharing its processors takes.
	started := 0
	for batch := range slices.Chunk(f.nodes, startBatchSize) {
		started += len(batch)
		f.publishHosts(started)
		for _, n := range batch {
			n.Start()
		}
		for _, n := range batch {
			if err := n.AwaitReady(ctx); err != nil {
				f.Close()
				return nil, err
			}
		}
		if started < len(f.nodes) {
			sleep(ctx, startBatchPause)
		}
	}
	return f, nil
}

func fleetDC(i int) string { return fmt.Sprintf("dc%d", i%fleetDataCentres) }

func (f *Fleet) newNode(i int) (*Node, error) {
	dc := fleetDC(i)
	set := Settings(fmt.Sprintf("entry-%03d", i), dc)
	set.Bounds.BalancerWaitSeconds = 0
	n, err := NewNode(NodeConfig{Settings: set, Dialer: f.pollNetwork.dialerFrom(dc), PeerDialer: f.peerNetwork.dialerFrom(dc),
		Platform: server.Platform{Table: dataCentreTable{f.table, f.peerNetwork, dc}, Objects: f.objects, Hosts: f.hosts,
			Weights: fake.NewWeights(fake.NewFaults(1, nil), 100, 100)}})
	if err == nil {
		f.peerNetwork.setDataCentre(n.PeerAddress(), dc)
	}
	return n, err
}

// dataCentreTable is the table service as the nodes of one data centre reach it: it is
// unavailable while the data centre is isolated.
type dataCentreTable struct {
	store.Table
	net *network
	dc  string
}

// Commit implements store.Table.
func (t dataCentreTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if t.net.IsIsolated(t.dc) {
		return 0, store.ErrUnavailable
	}
	return t.Table.Commit(ctx, txn)
}

// Get implements store.Table.
func (t dataCentreTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if t.net.IsIsolated(t.dc) {
		return nil, store.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

// publishHosts sets the platform's host list to the first nodes of the fleet, without
// the killed ones.
func (f *Fleet) publishHosts(first int) {
	var hosts []store.Host
	for i, n := range f.nodes[:first] {
		if n != nil {
			hosts = append(hosts, store.Host{Name: fmt.Sprintf("entry-%03d", i), Address: n.PeerAddress(), DataCentre: fleetDC(i),
				Role: store.RoleEntry, State: store.HostLive})
		}
	}
	f.hosts.Set(hosts...)
}

// fleetResidents returns the resident models of the upstream with index i: two models of
// its pool, as far as the pool has them.
func fleetResidents(i int) []engineapi.Resident {
	pool, place := i/upstreamsPerPool, i%upstreamsPerPool
	models := poolModels(pool)
	if len(models) == 0 {
		return nil
	}
	var out []engineapi.Resident
	for k := range 2 {
		m := models[(2*place+k)%len(models)]
		if k == 1 && out[0].Model == m {
			break
		}
		out = append(out, engineapi.Resident{Model: m, Version: "1", State: engineapi.StateReady, MemoryMB: residentMB, Op: "start"})
	}
	return out
}

// poolModels returns the models of a pool. The fleet's models are distributed over as
// many pools as the design size has, also in a smaller fleet.
func poolModels(pool int) []string {
	const pools = 2500/upstreamsPerPool + 1
	var out []string
	for m := pool % pools; m < fleetModels; m += pools {
		out = append(out, fmt.Sprintf("model-%03d", m))
	}
	return out
}

func (f *Fleet) newConfig() *config.Config {
	c := &config.Config{Site: "fleet",
		Classes: []config.ClassRule{{Class: class.Urgent, FirstTokenMs: 610, DeadlineMs: 5000, MaxQueue: 64},
			{Class: class.Standard, FirstTokenMs: 2000, DeadlineMs: 60_000, MaxQueue: 256}, {Class: class.Bulk, FirstTokenMs: 20_000, DeadlineMs: 300_000, MaxQueue: 256}},
		Presets: []config.Preset{{Name: "ordinary", UrgentHeadroom: 0.1, MovesPerMinute: 6, SpreadThreshold: 0.7, BulkShare: 0.5, AcceptBulk: true},
			{Name: "peak", UrgentHeadroom: 0.2, MovesPerMinute: 12, SpreadThreshold: 0.6, BulkShare: 0.2, AcceptBulk: true}},
		WeightStore: config.WeightStore{LoadsPerSecond: 10, Concurrent: 16, MBPerSecond: 10_000},
		Limits:      config.Limits{BodyBytes: 1 << 20, AnswerBytes: 1 << 20, ClaimTTLSeconds: 3600, RetryBudgetShare: 0.1},
	}
	for i := range fleetDataCentres {
		c.DataCentres = append(c.DataCentres, fleetDC(i))
	}
	for i := range fleetTeams {
		name := fmt.Sprintf("team-%02d", i)
		c.Teams = append(c.Teams, config.Team{Name: name, KeyHashes: []string{keyHash(name)}, Models: []string{config.Wildcard},
			Weight: 1, Limits: config.TeamLimits{RequestsPerSecond: 500, Concurrent: 500}})
	}
	for i, u := range f.upstreams.list {
		pool := fmt.Sprintf("pool-%02d", i/upstreamsPerPool)
		if i%upstreamsPerPool == 0 {
			c.Pools = append(c.Pools, config.Pool{Name: pool, Kind: config.KindEngine})
			for _, m := range poolModels(i / upstreamsPerPool) {
				c.Models = append(c.Models, config.Model{Name: m, Pool: pool, Version: "1", MemoryMB: residentMB, MinReplicas: 1, InitialReplicas: 1, TokensPerSecond: 40})
			}
		}
		c.Upstreams = append(c.Upstreams, config.Upstream{Name: u.Name, Pool: pool, Address: u.ln.Addr().String(), DataCentre: fleetDC(i),
			Accelerators: 4, MemoryMB: 80_000, MaxBatch: 16, Fencing: config.FencingChecked})
	}
	return c
}

// Close ends all nodes and upstreams.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		if n != nil {
			wg.Go(n.Kill)
		}
	}
	wg.Wait()
	f.upstreams.Close()
}

// liveNodes returns the nodes that were not killed.
func (f *Fleet) liveNodes() []*Node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *Node) bool { return n == nil })
}

// switchPreset switches the preset and returns, for each of the given nodes, the time
// from the acceptance of the change until the node has it in force.
func (f *Fleet) switchPreset(ctx context.Context, nodes []*Node) ([]time.Duration, error) {
	names := [2]string{"ordinary", "peak"}
	st, ok := nodes[0].State()
	if !ok {
		return nil, errors.New("no configuration in force")
	}
	next := names[0]
	if st.Preset.Name == next {
		next = names[1]
	}
	return f.timeChange(ctx, nodes, func() (uint64, error) {
		head, err := command.NewConfiguration(command.Deps{Table: f.table, Objects: f.objects}).UsePreset(ctx, command.UsePresetRequest{Author: "fleet", Preset: next})
		return head.Version, err
	})
}

// timeChange makes a change as if through the first node, and returns the time that
// each node takes to have it in force.
func (f *Fleet) timeChange(ctx context.Context, nodes []*Node, change func() (uint64, error)) ([]time.Duration, error) {
	version, err := change()
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	nodes[0].PollSoon() // the host that an operator calls applies the change at once
	return f.awaitVersion(ctx, nodes, version, accepted)
}

func (f *Fleet) awaitVersion(ctx context.Context, nodes []*Node, version uint64, from time.Time) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	times := make([]time.Duration, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() {
			if n.AwaitVersion(ctx, version) == nil {
				times[i] = time.Since(from)
			} else {
				times[i] = time.Minute
			}
		})
	}
	wg.Wait()
	return times, ctx.Err()
}

// usage holds the resource use of the process and the counters of the fleet so far.
type usage struct {
	at                   time.Time
	cpu                  time.Duration
	peerBytes, pollBytes int64
	reads, writes        int64
	reportsServed        int64
}

func (f *Fleet) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // fails only for a bad argument
	return usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), peerBytes: f.peerNetwork.bytes.Load(), pollBytes: f.pollNetwork.bytes.Load(),
		reads: f.table.Faults.Reads(), writes: f.table.Faults.Writes(), reportsServed: f.upstreams.ReportsServed()}
}

// liveMemory returns the bytes of the live heap and the stacks, after a garbage
// collection.
func liveMemory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
