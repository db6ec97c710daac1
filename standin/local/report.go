package local

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/config"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/site"
)

// Report is the result of one run of a site, from the records of the callers and the
// stand-ins alone.
type Report struct {
	Site         string  `json:"site"`
	Policy       string  `json:"policy"`
	Seed         uint64  `json:"seed"`
	Faults       string  `json:"faults,omitempty"`
	Seconds      float64 `json:"seconds"`
	EntryHosts   int     `json:"entry_hosts"`
	Accelerators int     `json:"accelerators"`
	load.Counts
	Overcommits              int      `json:"overcommits"`
	UnreachableModels        int      `json:"unreachable_models"`
	Unreachable              []string `json:"unreachable,omitempty"`
	ModelLoads               int      `json:"moves"`
	AttainmentPerAccelerator float64  `json:"attainment_per_accelerator"` // requests answered completely within their deadline, per accelerator
	AttainmentBound          float64  `json:"attainment_bound"`           // attainment that no policy can exceed on this plan
	History                  string   `json:"history"`                    // "ok", or the contradiction in the history of the calls that may not be repeated
	TableWrites              int64    `json:"table_writes"`
	TableReads               int64    `json:"table_reads"`
	Presets                  []string `json:"presets,omitempty"` // put in force during the run
}

// InvariantsHold reports whether none of the faults occurred that must never occur.
func (r Report) InvariantsHold() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.Truncated == 0 && r.Mismatched == 0 && r.FalseNotRun == 0 &&
		r.Overcommits == 0 && r.UnreachableModels == 0 && r.History == historyOK
}

// DriveOptions are the options of RunningSite.Drive.
type DriveOptions struct {
	Policy   string // name of the policy, for the report
	Scenario string
	Length   time.Duration
	Progress func(load.Progress)
	// Script, if set, runs during the traffic; its context ends with the traffic.
	Script Script
	// OnResult, if set, is called with the results that the callers recorded.
	OnResult func(*load.Result)
}

// Drive sends the site's demand through the entry hosts and reports the result.
func (r *RunningSite) Drive(ctx context.Context, d DriveOptions) (Report, error) {
	plan, err := r.opt.Site.Plan(r.opt.Seed, d.Length)
	if err != nil {
		return Report{}, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	truth := make(chan site.GroundTruth, 1)
	go func() { truth <- r.Upstreams.Monitor(trafficCtx) }()
	scriptDone := make(chan error, 1)
	go func() {
		if d.Script == nil {
			d.Script = func(context.Context, *RunningSite) error { return nil }
		}
		scriptDone <- d.Script(trafficCtx, r)
	}()
	result := load.Run(ctx, load.Config{Plan: plan, Entries: r.Balancer, Dial: r.DialCallers(), Progress: d.Progress})
	stop()
	if err := <-scriptDone; err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		return Report{}, eris.Wrap(err, "script of the run failed")
	}
	if d.OnResult != nil {
		d.OnResult(result)
	}
	effects := r.Upstreams.Effects()
	rep := Report{Site: r.opt.Site.Deployment.Site, Policy: d.Policy, Seed: r.opt.Seed, Faults: d.Scenario, Seconds: d.Length.Seconds(),
		EntryHosts: r.opt.Hosts, Accelerators: r.opt.Site.Accelerators(), Counts: result.Count(effects), History: checkHistory(result, effects),
		AttainmentBound: r.opt.Site.AttainmentBound(plan), TableWrites: r.Table.Faults.Writes(), TableReads: r.Table.Faults.Reads()}
	rep.addTruth(<-truth, &r.Upstreams.Config)
	rep.setPerAccelerator()
	rep.Presets = r.appliedPresets
	if ctx.Err() != nil {
		rep.Seconds = result.Elapsed.Seconds() // cancelled before the end of the plan
	}
	return rep, ctx.Err()
}

func (r *Report) setPerAccelerator() {
	r.AttainmentPerAccelerator = r.Attainment * float64(r.Requests) / float64(max(r.Accelerators, 1))
}

func (r *Report) addTruth(t site.GroundTruth, c *config.Config) {
	r.Overcommits, r.ModelLoads = len(t.Overcommits), t.ModelLoads
	r.Unreachable = t.UnreachableModels(c)
	r.UnreachableModels = len(r.Unreachable)
}
