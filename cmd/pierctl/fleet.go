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
	"peridotpier.example/standin/local"
)

// fleetCommand measures what acting as one costs fleets of real nodes.
type fleetCommand struct {
	nodes     int
	upstreams int
	steady    time.Duration
	changes   int
	json      bool
}

func (*fleetCommand) Name() string { return "fleet" }
func (*fleetCommand) Synopsis() string {
	return "measure the control path of a fleet of real nodes on loopback"
}
func (*fleetCommand) Usage() string {
	return "pierctl fleet [--nodes N] [--upstreams N] [--steady DURATION] [--changes N] [--json]\n"
}

func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.nodes, "nodes", 7, "number of entry hosts")
	f.IntVar(&c.upstreams, "upstreams", 0, "number of upstreams that report; 0: 6 a host")
	f.DurationVar(&c.steady, "steady", 15*time.Second, "how long the steady state is measured")
	f.IntVar(&c.changes, "changes", 5, "changes of preset and leaving upstreams to time")
	f.BoolVar(&c.json, "json", false, "print one JSON object")
}

// upstreamsPerNode is the proportion of the design size, 2,500 to 420.
const upstreamsPerNode = 6

func (c *fleetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.nodes < 1 || c.changes < 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	if c.upstreams == 0 {
		c.upstreams = upstreamsPerNode * c.nodes
	}
	r, err := local.RunFleet(ctx, local.FleetOptions{Nodes: c.nodes, Upstreams: c.upstreams, Steady: c.steady, Changes: c.changes,
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }})
	if err != nil {
		return exit.Print(os.Stderr, c.json, err)
	}
	enc := json.NewEncoder(os.Stdout)
	if !c.json {
		enc.SetIndent("", "  ")
	}
	_ = enc.Encode(r)
	return exit.OK
}
