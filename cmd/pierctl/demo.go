package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/local"
	"peridotpier.example/standin/site"
)

type demoCommand struct {
	site   string
	length time.Duration
	seed   uint64
	json   bool
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a whole site on loopback, with its upstreams imitated"
}
func (*demoCommand) Usage() string {
	return `pierctl demo [--site NAME] [--for DURATION] [--json]
  Without --for: starts the site, prints curl lines, sends traffic and shows
  progress until interrupted. With --for: sends mixed traffic for that long,
  lets a host leave and switches the preset, and prints a report.
  Exit 0: sound; 1: something was lost, doubled, cut, crossed, overcommitted
  or unreachable, or the run failed; 2: usage.
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "kathmandu", "built-in `site` or site file")
	f.DurationVar(&c.length, "for", 0, "`length` of the traffic; 0: until interrupted")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the traffic")
	f.BoolVar(&c.json, "json", false, "print one JSON object at the end")
}

// untilInterrupted is the length of the traffic's plan without --for.
const untilInterrupted = time.Hour

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.length < 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	rep, err := c.run(ctx)
	if err != nil {
		return exit.Print(os.Stderr, c.json, err)
	}
	if c.json {
		_ = json.NewEncoder(os.Stdout).Encode(rep)
	} else {
		printReport(os.Stdout, rep)
	}
	if !rep.Sound() {
		return exit.Failed
	}
	return exit.OK
}

func (c *demoCommand) run(ctx context.Context) (local.Report, error) {
	s, err := site.Load(c.site)
	if err != nil {
		return local.Report{}, err
	}
	r, err := local.Start(ctx, local.Options{Site: s, Seed: c.seed})
	if err != nil {
		return local.Report{}, err
	}
	defer r.Close()
	if !c.json {
		printIntroduction(os.Stdout, s, r)
	}
	d := local.Drive{Policy: "peridot", Length: c.length, Progress: c.progress}
	if c.length == 0 {
		d.Length = untilInterrupted
	} else {
		d.Script = local.Leaving(c.length)
	}
	rep, err := r.Drive(ctx, d)
	if c.length == 0 && errors.Is(err, context.Canceled) {
		err = nil // interrupted, as it was meant to be
	}
	return rep, err
}

func (c *demoCommand) progress(p load.Progress) { showProgress(os.Stderr, p) }
