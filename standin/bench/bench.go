// Package bench runs a site's real nodes beside its stand-ins in real time
// under a named policy, seed and course of faults, open loop, and compares
// policies on the same seeds.
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

// Config of one run.
type Config struct {
	Site       *site.Site
	Policy     string
	Seed       uint64
	Duration   time.Duration
	Faults     string  // a scenario's name, see site.Scenarios; "": none
	LoadFactor float64 // the site's demand is multiplied by this; 0: 1
	Progress   func(load.Progress)
	Log        *zap.Logger
}

// Run is what one run came to.
type Run struct {
	local.Report
	LoadFactor       float64  `json:"load"`
	UrgentAttainment float64  `json:"urgent_attainment"` // share of urgent requests answered whole and in time
	OracleAttainment *float64 `json:"oracle_attainment,omitempty"`
	Series           Series   `json:"-"`
}

// RunPolicy carries out one run.
func RunPolicy(ctx context.Context, c Config) (*Run, error) {
	p, err := findPolicy(c.Policy)
	if err != nil {
		return nil, err
	}
	faults, err := site.FindScenario(faultsOrNone(c.Faults))
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
	out.Report, err = r.Drive(ctx, local.DriveOptions{Policy: c.Policy, Scenario: c.Faults, Length: c.Duration, Progress: c.Progress,
		Script: func(ctx context.Context, r *local.RunningSite) error {
			return faultErrors(faults.Run(ctx, r.FaultTargets(), c.Duration))
		},
		OnResult: func(res *load.Result) { out.Series = newSeries(res, c.Duration) }})
	out.UrgentAttainment = out.ByClass["urgent"].Attainment
	return out, err
}

// faultErrors says which faults could not be caused: a run without them shows nothing.
func faultErrors(steps []site.Fault) error {
	var errs []error
	for _, f := range steps {
		if f.Err != nil {
			errs = append(errs, eris.Wrap(f.Err, f.Description))
		}
	}
	return errors.Join(errs...)
}

func faultsOrNone(faults string) string {
	if faults == "" {
		return "none"
	}
	return faults
}

// The windows in which demand is measured, for a site file whose course stands
// for an hour, and the least that is of use beside loads that take seconds.
const (
	representedTime = time.Hour
	minShortWindow  = 2 * time.Second
	minLongWindow   = 8 * time.Second
)

// compressedWindows compresses the windows of demand as the run compresses the hour.
func compressedWindows(length time.Duration) demand.Config {
	c := demand.DefaultConfig()
	scale := min(length.Seconds()/representedTime.Seconds(), 1)
	c.Short = max(time.Duration(scale*float64(c.Short)), minShortWindow)
	c.Long = max(time.Duration(scale*float64(c.Long)), minLongWindow)
	return c
}
