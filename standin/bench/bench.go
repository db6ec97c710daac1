// Package bench runs real nodes of a site beside imitated upstreams in real time, with a named
// policy, a seed and a fault scenario, under open-loop load, and compares policies on the
// same seeds.
package bench

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/node/demand"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/site"
)

// Config describes one run.
type Config struct {
	Site       *site.Site
	Policy     string
	Seed       uint64
	Duration   time.Duration
	Scenario   string  // a scenario's name, see site.Scenarios; "": none
	LoadFactor float64 // the site's demand is multiplied by this; 0: 1
	Progress   func(load.Progress)
	Log        *zap.Logger
}

// Run is the result of one run.
type Run struct {
	local.Report
	LoadFactor       float64  `json:"load"`
	UrgentAttainment float64  `json:"urgent_attainment"` // share of urgent requests that got a complete answer in time
	OracleAttainment *float64 `json:"oracle_attainment,omitempty"`
	Series           Series   `json:"-"`
}

// RunPolicy carries out one run and returns its result. It fails if a fault of the scenario
// could not be caused.
func RunPolicy(ctx context.Context, c Config) (*Run, error) {
	p, err := findPolicy(c.Policy)
	if err != nil {
		return nil, err
	}
	faults, err := site.FindScenario(faultsOrNone(c.Scenario))
	if err != nil {
		return nil, err
	}
	if c.LoadFactor == 0 {
		c.LoadFactor = 1
	}
	s := c.Site.WithScaledDemand(c.LoadFactor)
	l := newLRU()
	r, err := local.Start(ctx, local.Options{Site: s, Seed: c.Seed, Policy: p.overrides(l), Oracle: p.exactReports,
		Demand: compressedWindows(c.Duration), Log: c.Log})
	if err != nil {
		return nil, eris.Wrapf(err, "start the site under policy %s", c.Policy)
	}
	defer r.Close()
	if p.loadsOnDemand {
		defer l.startController(r)()
	}
	out := &Run{LoadFactor: c.LoadFactor}
	out.Report, err = r.Drive(ctx, local.DriveOptions{Policy: c.Policy, Scenario: c.Scenario, Length: c.Duration, Progress: c.Progress,
		Script: func(ctx context.Context, r *local.RunningSite) error {
			return faultErrors(faults.Run(ctx, r.FaultTargets(), c.Duration))
		},
		OnResult: func(res *load.Result) { out.Series = newSeries(res, c.Duration) }})
	out.UrgentAttainment = out.ByClass["urgent"].Attainment
	return out, err
}

// faultErrors returns the errors of the faults that could not be caused: the result of a run
// without them means nothing.
func faultErrors(steps []site.Fault) error {
	var errs []error
	for _, f := range steps {
		if f.Err != nil {
			errs = append(errs, eris.Wrap(f.Err, f.Description))
		}
	}
	return errors.Join(errs...)
}

// faultsOrNone returns the name of the scenario without faults if none is given.
func faultsOrNone(faults string) string {
	if faults == "" {
		return "none"
	}
	return faults
}

// The demand of a site file represents an hour, which a run compresses to its length. The
// windows in which demand is measured are compressed too, but not below these minimums:
// loading a model still takes seconds.
const (
	representedTime = time.Hour
	minShortWindow  = 2 * time.Second
	minLongWindow   = 8 * time.Second
)

// compressedWindows returns the configuration of demand with its windows scaled by the
// length of the run to the hour that it represents.
func compressedWindows(length time.Duration) demand.Config {
	c := demand.DefaultConfig()
	scale := min(length.Seconds()/representedTime.Seconds(), 1)
	c.Short = max(time.Duration(scale*float64(c.Short)), minShortWindow)
	c.Long = max(time.Duration(scale*float64(c.Long)), minLongWindow)
	return c
}
