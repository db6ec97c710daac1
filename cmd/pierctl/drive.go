package main

import (
	"context"
	"encoding/json"
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

// driveCommand sends a site's demand to entry hosts that run beside "pierctl standin".
type driveCommand struct {
	site      string
	dir       string
	duration  time.Duration
	seed      uint64
	printJSON bool
}

func (*driveCommand) Name() string { return "drive" }
func (*driveCommand) Synopsis() string {
	return "send a site's demand to entry hosts that run beside pierctl standin"
}
func (*driveCommand) Usage() string {
	return `pierctl drive --dir DIR [--site NAME] [--for DURATION] [--seed N] [--json]
  Waits until the hosts of DIR/layout.json are ready, sends one call that may
  not be repeated twice, then mixed traffic, and counts by the callers' and the
  stand-ins' own records.
  Exit 0: sound; 1: something was lost, doubled, cut, crossed, overcommitted
  or unreachable, or the run failed; 2: usage.
`
}

func (c *driveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "kathmandu", "built-in `site` or site file, as given to standin")
	f.StringVar(&c.dir, "dir", "", "`folder` that pierctl standin wrote to")
	f.DurationVar(&c.duration, "for", 10*time.Second, "`length` of the traffic")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the traffic")
	f.BoolVar(&c.printJSON, "json", false, "print one JSON object at the end")
}

func (c *driveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.dir == "" || c.duration <= 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	return runAndReport(ctx, c.run, c.printJSON)
}

func (c *driveCommand) run(ctx context.Context) (local.Report, error) {
	s, err := site.Load(c.site)
	if err != nil {
		return local.Report{}, err
	}
	l, err := local.ReadLayout(c.dir)
	if err != nil {
		return local.Report{}, err
	}
	return local.RemoteRun{Site: s, Layout: l, Seed: c.seed, Length: c.duration, Progress: showProgress}.Run(ctx)
}

// runAndReport calls run, prints its report and returns the exit code: exit.Failed if the run
// failed or was not sound.
func runAndReport(ctx context.Context, run func(context.Context) (local.Report, error), asJSON bool) subcommands.ExitStatus {
	rep, err := run(ctx)
	if err != nil {
		return exit.Print(os.Stderr, asJSON, err)
	}
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(rep)
	} else {
		printReport(os.Stdout, rep)
	}
	if !rep.InvariantsHold() {
		return exit.Failed
	}
	return exit.OK
}

// showProgress overwrites one line on standard error with the current progress.
func showProgress(p load.Progress) {
	fmt.Fprintf(os.Stderr, "\r%5.0fs  sent %6d  answered %6d  in time %6d ", p.Elapsed.Seconds(), p.Sent, p.Finished, p.MetDeadline)
}
