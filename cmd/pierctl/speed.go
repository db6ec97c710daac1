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
	"peridotpier.example/standin/speed"
)

// speedCommand measures the data path of two entry hosts; scripts/speed.sh starts them.
type speedCommand struct {
	cfg       speed.Config
	dir       string
	printJSON bool
}

func (*speedCommand) Name() string { return "speed" }
func (*speedCommand) Synopsis() string {
	return "measure the data path of two entry hosts beside pierctl standin --site speed"
}
func (*speedCommand) Usage() string {
	return `pierctl speed --dir DIR --one-core PID --free PID [--for DURATION] [--rate N]
              [--idle-streams N] [--paced-streams N] [--fast-streams N] [--json]
  The hosts must have just started, the first with GOMAXPROCS=1.
  scripts/speed.sh starts all that is needed and calls this.
`
}

func (c *speedCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "`folder` that pierctl standin wrote to")
	f.IntVar(&c.cfg.OneCorePID, "one-core", 0, "process `id` of the first host")
	f.IntVar(&c.cfg.UnrestrictedPID, "free", 0, "process `id` of the second host")
	f.DurationVar(&c.cfg.Duration, "for", 10*time.Second, "`length` of each part")
	f.IntVar(&c.cfg.RequestsPerSecond, "rate", 500, "requests a second for the time to the first byte")
	f.IntVar(&c.cfg.IdleStreams, "idle-streams", 2000, "idle streams")
	f.IntVar(&c.cfg.PacedStreams, "paced-streams", 550, "streams of 100 tokens a second each")
	f.IntVar(&c.cfg.FastStreams, "fast-streams", 64, "streams that are as fast as they can be")
	f.BoolVar(&c.printJSON, "json", false, "print one JSON object")
}

func (c *speedCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.dir == "" || c.cfg.OneCorePID == 0 || c.cfg.UnrestrictedPID == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	var err error
	if c.cfg.Layout, err = local.ReadLayout(c.dir); err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	rep, err := speed.Run(ctx, c.cfg)
	if err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	if c.printJSON {
		_ = json.NewEncoder(os.Stdout).Encode(rep)
		return exit.OK
	}
	printSpeed(rep)
	return exit.OK
}

func printSpeed(r speed.Report) {
	fmt.Printf("idle host: %.1f MB resident\n", r.IdleMB)
	fmt.Printf("idle stream: %.1f KB live heap and stacks each (stacks %.1f KB), %.1f KB resident, %d open\n", r.KBPerIdleStream, r.StackKBPerIdleStream, r.ResidentKBPerIdleStream, r.IdleStreams)
	fmt.Printf("first byte at %d requests/s, p50 / p95 / p99 ms: direct %.3f / %.3f / %.3f, through a host %.3f / %.3f / %.3f, added %.3f / %.3f / %.3f\n", r.RequestsPerSecond,
		r.DirectMs.P50, r.DirectMs.P95, r.DirectMs.P99, r.HostMs.P50, r.HostMs.P95, r.HostMs.P99, r.AddedMs.P50, r.AddedMs.P95, r.AddedMs.P99)
	for _, x := range []struct {
		name string
		r    speed.Throughput
	}{{"paced", r.Paced}, {"fast", r.Fast}} {
		fmt.Printf("one core, %d %s streams: %.0f tokens/s, %.0f%% of the core\n", x.r.Streams, x.name, x.r.TokensPerSecond, 100*x.r.CPUShare)
	}
}
