package local

import (
	"context"
	"encoding/json"
	"time"

	"peridotpier.example/node/command"
)

const (
	checkInterval       = 20 * time.Millisecond // pause between two checks of all nodes
	checkTimeout        = time.Minute
	cutDuration         = 20 * time.Second // longer than hosts take to suspect each other
	storeOutageDuration = 20 * time.Second
)

// RunFleet starts a fleet, measures it and stops it.
func RunFleet(ctx context.Context, opt FleetOptions) (FleetReport, error) {
	before := liveMemory()
	startedAt := time.Now()
	f, err := StartFleet(ctx, opt)
	if err != nil {
		return FleetReport{}, err
	}
	defer f.Close()
	r := FleetReport{Nodes: opt.Nodes, Upstreams: opt.Upstreams, StartSeconds: time.Since(startedAt).Seconds()}
	doc, err := json.Marshal(f.cfg)
	if err != nil {
		return r, err
	}
	r.DocumentBytes = len(doc)
	ready := time.Now()
	f.awaitEach(ctx, time.Now(), f.liveNodes(), func(n *Node) bool { return len(n.LiveHosts()) == opt.Nodes })
	r.MembersKnownSeconds = time.Since(ready).Seconds()
	f.opt.Progress("%d nodes know one another after %.1f s", opt.Nodes, r.MembersKnownSeconds)
	f.measureSteadyState(ctx, &r)
	r.HeapKB = (liveMemory() - before) / 1024 / float64(opt.Nodes)
	f.opt.Progress("steady: %.0f + %.0f B/s, %.2f%% of a core, %.0f KB a node", r.PeerBytes, r.PollBytes, 100*r.CPUShare, r.HeapKB)
	for _, step := range []func(context.Context, *FleetReport) error{f.measurePresetChanges, f.measureDocumentChange, f.measureDraining, f.measureStoreOutage, f.measureCutOff, f.measureKill} {
		if err := step(ctx, &r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// measureSteadyState measures the resource use of the fleet while nothing changes.
func (f *Fleet) measureSteadyState(ctx context.Context, r *FleetReport) {
	sleep(ctx, f.opt.SteadyDuration/3) // the load of the start subsides
	a := f.usage()
	sleep(ctx, f.opt.SteadyDuration)
	b := f.usage()
	seconds, nodes := b.at.Sub(a.at).Seconds(), float64(f.opt.Nodes)
	r.PeerBytes = 2 * float64(b.peerBytes-a.peerBytes) / seconds / nodes // each byte is sent by one node and received by another
	r.PollBytes = float64(b.pollBytes-a.pollBytes) / seconds / nodes
	r.TableReads = float64(b.reads-a.reads) / seconds
	r.TableWrites = float64(b.writes-a.writes) / seconds
	r.ReportsServed = float64(b.reportsServed-a.reportsServed) / seconds
	r.CPUShare = (b.cpu - a.cpu).Seconds() / seconds / nodes
}

func (f *Fleet) measurePresetChanges(ctx context.Context, r *FleetReport) error {
	var all []time.Duration
	for range f.opt.ChangeCount {
		t, err := f.switchPreset(ctx, f.liveNodes())
		if err != nil {
			return err
		}
		all = append(all, t...)
		sleep(ctx, time.Second)
	}
	r.PresetInForce = quantiles(all)
	f.opt.Progress("preset in force everywhere: p50 %.0f ms, p99 %.0f ms, max %.0f ms", r.PresetInForce.P50, r.PresetInForce.P99, r.PresetInForce.Max)
	return nil
}

func (f *Fleet) measureDocumentChange(ctx context.Context, r *FleetReport) error {
	f.cfg.Limits.AnswerBytes++
	doc, err := json.Marshal(f.cfg)
	if err != nil {
		return err
	}
	st, _ := f.nodes[0].State()
	t, err := f.timeChange(ctx, f.liveNodes(), func() (uint64, error) {
		head, err := command.NewConfiguration(command.Deps{Table: f.table, Objects: f.objects}).Apply(ctx, command.ApplyRequest{Author: "fleet", Parent: st.Version, Document: doc})
		return head.Version, err
	})
	r.DocumentInForce = quantiles(t)
	f.opt.Progress("document of %d bytes in force everywhere: p50 %.0f ms, max %.0f ms", len(doc), r.DocumentInForce.P50, r.DocumentInForce.Max)
	return err
}

func (f *Fleet) measureDraining(ctx context.Context, r *FleetReport) error {
	var all []time.Duration
	for i := range f.opt.ChangeCount {
		u := f.upstreams.list[(i*97+13)%len(f.upstreams.list)]
		u.draining.Store(true)
		all = append(all, f.awaitEach(ctx, time.Now(), f.liveNodes(), func(n *Node) bool { return n.IsUpstreamDraining(u.Name) })...)
	}
	r.DrainingKnown = quantiles(all)
	f.opt.Progress("draining upstream known: p50 %.0f ms, p99 %.0f ms, max %.0f ms", r.DrainingKnown.P50, r.DrainingKnown.P99, r.DrainingKnown.Max)
	return nil
}

// measureStoreOutage makes the table service unavailable and times a preset change
// after its return.
func (f *Fleet) measureStoreOutage(ctx context.Context, r *FleetReport) error {
	f.table.Faults.StartOutage(storeOutageDuration)
	r.ReadyThroughStoreOutage = true
	for end := time.Now().Add(storeOutageDuration); time.Now().Before(end) && sleep(ctx, time.Second); {
		for _, n := range f.liveNodes() {
			r.ReadyThroughStoreOutage = r.ReadyThroughStoreOutage && n.Ready()
		}
	}
	t, err := f.switchPreset(ctx, f.liveNodes())
	r.PresetInForceAfterStoreOutage = quantiles(t)
	f.opt.Progress("after a store outage: ready throughout %t, in force max %.0f ms", r.ReadyThroughStoreOutage, r.PresetInForceAfterStoreOutage.Max)
	return err
}

// measureCutOff isolates a data centre, changes the preset outside it, and measures
// the time from the end of the isolation until its nodes have the preset in force.
func (f *Fleet) measureCutOff(ctx context.Context, r *FleetReport) error {
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
	f.peerNetwork.Isolate(dc)
	sleep(ctx, cutDuration)
	if _, err := f.switchPreset(ctx, outside); err != nil {
		return err
	}
	st, _ := outside[0].State()
	f.peerNetwork.Isolate("")
	t, err := f.awaitVersion(ctx, inside, st.Version, time.Now())
	r.PresetInForceAfterCut = quantiles(t)
	f.awaitEach(ctx, time.Now(), f.liveNodes(), func(n *Node) bool { return len(n.LiveHosts()) == f.opt.Nodes })
	f.opt.Progress("data centre back: in force max %.0f ms", r.PresetInForceAfterCut.Max)
	return err
}

// measureKill kills every tenth node at once. It times how long the survivors take to know
// of the killed nodes, and meanwhile a preset change at the survivors.
func (f *Fleet) measureKill(ctx context.Context, r *FleetReport) error {
	killed, killedAt := 0, time.Now()
	for i := 3; i < len(f.nodes); i += 10 {
		go f.nodes[i].Kill()
		f.nodes[i] = nil
		killed++
	}
	if killed == 0 {
		return nil
	}
	survivors := f.liveNodes()
	known := make(chan []time.Duration, 1)
	go func() {
		known <- f.awaitEach(ctx, killedAt, survivors, func(n *Node) bool { return len(n.LiveHosts()) == f.opt.Nodes-killed })
	}()
	t, err := f.switchPreset(ctx, survivors)
	r.KilledKnown = quantiles(<-known)
	if err != nil {
		return err
	}
	r.PresetInForceAfterKill = quantiles(t)
	f.opt.Progress("%d nodes killed: known max %.0f ms, change in force max %.0f ms", killed, r.KilledKnown.Max, r.PresetInForceAfterKill.Max)
	return nil
}

// awaitEach waits until ok is true for each node and returns the time that each took from
// startedAt; that is checkTimeout for a node that took longer.
func (f *Fleet) awaitEach(ctx context.Context, startedAt time.Time, nodes []*Node, ok func(*Node) bool) []time.Duration {
	times := make([]time.Duration, len(nodes))
	for remaining := len(nodes); remaining > 0 && time.Since(startedAt) < checkTimeout && sleep(ctx, checkInterval); {
		for i, n := range nodes {
			if times[i] == 0 && ok(n) {
				times[i] = time.Since(startedAt)
				remaining--
			}
		}
	}
	for i := range times {
		if times[i] == 0 {
			times[i] = checkTimeout
		}
	}
	return times
}
