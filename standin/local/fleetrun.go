package local

import (
	"context"
	"encoding/json"
	"time"

	"peridotpier.example/node/command"
)

const (
	lookEach  = 20 * time.Millisecond // pause between two looks at all nodes
	lookBound = time.Minute
	cutFor    = 20 * time.Second // longer than hosts take to call each other suspect
	outageFor = 20 * time.Second
)

// RunFleet measures one fleet and stops it.
func RunFleet(ctx context.Context, opt FleetOptions) (FleetReport, error) {
	before := liveMemory()
	begun := time.Now()
	f, err := StartFleet(ctx, opt)
	if err != nil {
		return FleetReport{}, err
	}
	defer f.Close()
	r := FleetReport{Nodes: opt.Nodes, Upstreams: opt.Upstreams, StartSeconds: time.Since(begun).Seconds()}
	doc, err := json.Marshal(f.cfg)
	if err != nil {
		return r, err
	}
	r.DocumentBytes = len(doc)
	ready := time.Now()
	f.until(ctx, f.live(), func(n *Node) bool { return len(n.LiveHosts()) == opt.Nodes })
	r.MembersKnownSeconds = time.Since(ready).Seconds()
	f.opt.Progress("%d nodes know one another after %.1f s", opt.Nodes, r.MembersKnownSeconds)
	f.steady(ctx, &r)
	r.HeapKB = (liveMemory() - before) / 1024 / float64(opt.Nodes)
	f.opt.Progress("steady: %.0f + %.0f B/s, %.2f%% of a core, %.0f KB a node", r.PeerBytes, r.PollBytes, 100*r.CPUShare, r.HeapKB)
	for _, step := range []func(context.Context, *FleetReport) error{f.presets, f.document, f.leaving, f.outage, f.cutOff, f.kill} {
		if err := step(ctx, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// steady measures what the fleet costs when nothing happens.
func (f *Fleet) steady(ctx context.Context, r *FleetReport) {
	pause(ctx, f.opt.SteadyDuration/3) // what starting caused settles
	a := f.usage()
	pause(ctx, f.opt.SteadyDuration)
	b := f.usage()
	seconds, nodes := b.at.Sub(a.at).Seconds(), float64(f.opt.Nodes)
	r.PeerBytes = 2 * float64(b.peers-a.peers) / seconds / nodes // each byte is sent by one node and received by another
	r.PollBytes = float64(b.polls-a.polls) / seconds / nodes
	r.TableReads = float64(b.reads-a.reads) / seconds
	r.TableWrites = float64(b.writes-a.writes) / seconds
	r.ReportsServed = float64(b.asked-a.asked) / seconds
	r.CPUShare = (b.cpu - a.cpu).Seconds() / seconds / nodes
}

func (f *Fleet) presets(ctx context.Context, r *FleetReport) error {
	var all []time.Duration
	for range f.opt.ChangeCount {
		t, err := f.change(ctx, f.live())
		if err != nil {
			return err
		}
		all = append(all, t...)
		pause(ctx, time.Second)
	}
	r.PresetInForce = quantiles(all)
	f.opt.Progress("preset in force everywhere: p50 %.0f ms, p99 %.0f ms, max %.0f ms", r.PresetInForce.P50, r.PresetInForce.P99, r.PresetInForce.Max)
	return nil
}

func (f *Fleet) document(ctx context.Context, r *FleetReport) error {
	f.cfg.Limits.AnswerBytes++
	doc, err := json.Marshal(f.cfg)
	if err != nil {
		return err
	}
	st, _ := f.nodes[0].State()
	t, err := f.timed(ctx, f.live(), func() (uint64, error) {
		head, err := command.NewConfiguration(command.Deps{Table: f.table, Objects: f.objects}).Apply(ctx, command.ApplyRequest{Author: "fleet", Parent: st.Version, Document: doc})
		return head.Version, err
	})
	r.DocumentInForce = quantiles(t)
	f.opt.Progress("document of %d bytes in force everywhere: p50 %.0f ms, max %.0f ms", len(doc), r.DocumentInForce.P50, r.DocumentInForce.Max)
	return err
}

func (f *Fleet) leaving(ctx context.Context, r *FleetReport) error {
	var all []time.Duration
	for i := range f.opt.ChangeCount {
		src := f.sources.list[(i*97+13)%len(f.sources.list)]
		src.leaving.Store(true)
		all = append(all, f.until(ctx, f.live(), func(n *Node) bool { return n.IsUpstreamDraining(src.Name) })...)
	}
	r.DrainingKnown = quantiles(all)
	f.opt.Progress("leaving upstream known: p50 %.0f ms, p99 %.0f ms, max %.0f ms", r.DrainingKnown.P50, r.DrainingKnown.P99, r.DrainingKnown.Max)
	return nil
}

// outage takes the table service away and times a change after its return.
func (f *Fleet) outage(ctx context.Context, r *FleetReport) error {
	f.table.Faults.StartOutage(outageFor)
	r.ReadyThroughStoreOutage = true
	for end := time.Now().Add(outageFor); time.Now().Before(end) && pause(ctx, time.Second); {
		for _, n := range f.live() {
			r.ReadyThroughStoreOutage = r.ReadyThroughStoreOutage && n.Ready()
		}
	}
	t, err := f.change(ctx, f.live())
	r.PresetInForceAfterStoreOutage = quantiles(t)
	f.opt.Progress("after a store outage: ready throughout %t, in force max %.0f ms", r.ReadyThroughStoreOutage, r.PresetInForceAfterStoreOutage.Max)
	return err
}

// cutOff separates a data centre, changes the preset, and times from its return.
func (f *Fleet) cutOff(ctx context.Context, r *FleetReport) error {
	if f.opt.Nodes < 2*fleetDataCentres {
		return nil
	}
	dc := fleetDC(1)
	var inside, outside []*Node
	for i, n := range f.nodes {
		if fleetDC(i) == dc {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	f.peers.Cut(dc)
	pause(ctx, cutFor)
	if _, err := f.change(ctx, outside); err != nil {
		return err
	}
	st, _ := outside[0].State()
	f.peers.Cut("")
	t, err := f.await(ctx, inside, st.Version, time.Now())
	r.PresetInForceAfterCut = quantiles(t)
	f.until(ctx, f.live(), func(n *Node) bool { return len(n.LiveHosts()) == f.opt.Nodes })
	f.opt.Progress("data centre back: in force max %.0f ms", r.PresetInForceAfterCut.Max)
	return err
}

// kill ends every tenth node at once.
func (f *Fleet) kill(ctx context.Context, r *FleetReport) error {
	killed := 0
	for i := 3; i < len(f.nodes); i += 10 {
		go f.nodes[i].Kill()
		f.nodes[i] = nil
		killed++
	}
	if killed == 0 {
		return nil
	}
	left := f.live()
	t, err := f.change(ctx, left)
	if err != nil {
		return err
	}
	r.PresetInForceAfterKill = quantiles(t)
	r.KilledKnown = quantiles(f.until(ctx, left, func(n *Node) bool { return len(n.LiveHosts()) == f.opt.Nodes-killed }))
	f.opt.Progress("%d nodes killed: known max %.0f ms, change in force max %.0f ms", killed, r.KilledKnown.Max, r.PresetInForceAfterKill.Max)
	return nil
}

// until waits until each node fulfils what is asked, and returns its time.
func (f *Fleet) until(ctx context.Context, nodes []*Node, ok func(*Node) bool) []time.Duration {
	begun := time.Now()
	times := make([]time.Duration, len(nodes))
	for left := len(nodes); left > 0 && time.Since(begun) < lookBound && pause(ctx, lookEach); {
		for i, n := range nodes {
			if times[i] == 0 && ok(n) {
				times[i] = time.Since(begun)
				left--
			}
		}
	}
	for i := range times {
		if times[i] == 0 {
			times[i] = lookBound // not within the bound: shows as such
		}
	}
	return times
}
