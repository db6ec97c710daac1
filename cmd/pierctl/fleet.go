package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/standin/local"
)

// fleetCommand measures the cost of the control path of fleets of real nodes.
type fleetCommand struct {
	nodes     int
	upstreams int
	steady    time.Duration
	changes   int
	sizes     string
	plot      string
	profile   string
	printJSON bool
}

func (*fleetCommand) Name() string { return "fleet" }
func (*fleetCommand) Synopsis() string {
	return "measure the control path of a fleet of real nodes on loopback"
}
func (*fleetCommand) Usage() string {
	return "pierctl fleet [--nodes N | --sizes N,N,...] [--upstreams N] [--steady DURATION] [--changes N] [--plot FILE.svg] [--profile FILE] [--json]\n  With --sizes: runs one fleet after another and prints how the figures grow.\n"
}

func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.nodes, "nodes", 7, "number of entry hosts")
	f.IntVar(&c.upstreams, "upstreams", 0, "number of upstreams that report; 0: 6 a host")
	f.DurationVar(&c.steady, "steady", 15*time.Second, "how long the steady state is measured")
	f.IntVar(&c.changes, "changes", 5, "changes of preset and leaving upstreams to time")
	f.StringVar(&c.sizes, "sizes", "", "several `numbers` of entry hosts, separated by commas, in place of --nodes")
	f.StringVar(&c.plot, "plot", "", "with --sizes: write a plot to this SVG `file`")
	f.StringVar(&c.profile, "profile", "", "write a processor profile of the run to this `file`")
	f.BoolVar(&c.printJSON, "json", false, "print one JSON object")
}

// upstreamsPerNode is the ratio of the design size: 2,500 upstreams to 420 hosts.
const upstreamsPerNode = 6

func (c *fleetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.nodes < 1 || c.changes < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	if err := c.runProfiled(ctx); err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	return exit.OK
}

// runProfiled runs the command, and writes a CPU profile of it if asked to.
func (c *fleetCommand) runProfiled(ctx context.Context) error {
	if c.profile == "" {
		return c.run(ctx)
	}
	file, err := os.Create(c.profile)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return errors.Join(err, file.Close())
	}
	// After an interruption the hosts shut down, which is no part of the run to profile.
	defer context.AfterFunc(ctx, pprof.StopCPUProfile)()
	err = c.run(ctx)
	pprof.StopCPUProfile()
	return errors.Join(err, file.Close())
}

func (c *fleetCommand) run(ctx context.Context) error {
	sizes := []int{c.nodes}
	if c.sizes != "" {
		sizes = sizes[:0]
		for _, text := range strings.Split(c.sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 {
				return usageError("--sizes: %q is not a number of hosts", text)
			}
			sizes = append(sizes, n)
		}
	}
	var runs []local.FleetReport
	for _, n := range sizes {
		r, err := c.runOne(ctx, n)
		if err != nil {
			return err
		}
		c.print(r)
		runs = append(runs, r)
	}
	if len(runs) > 1 {
		c.print(local.FitSlopes(runs))
	}
	if c.plot == "" {
		return nil
	}
	file, err := os.Create(c.plot)
	if err != nil {
		return err
	}
	return errors.Join(local.PlotSlopes(file, runs), file.Close())
}

// runOne measures one fleet of a number of nodes.
func (c *fleetCommand) runOne(ctx context.Context, nodes int) (local.FleetReport, error) {
	upstreams := c.upstreams
	if upstreams == 0 {
		upstreams = upstreamsPerNode * nodes
	}
	return local.RunFleet(ctx, local.FleetOptions{Nodes: nodes, Upstreams: upstreams, SteadyDuration: c.steady, ChangeCount: c.changes,
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }})
}

func (c *fleetCommand) print(v any) {
	enc := json.NewEncoder(os.Stdout)
	if !c.printJSON {
		enc.SetIndent("", "  ")
	}
	_ = enc.Encode(v)
}
