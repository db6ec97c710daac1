package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/standin/bench"
	"peridotpier.example/standin/site"
)

// benchCommand measures one policy, or compares several, on a site of imitated upstreams.
type benchCommand struct {
	cfg        bench.Config
	site       string
	policies   string
	seeds      string
	printJSON  bool
	plot       string
	withOracle bool
}

func (*benchCommand) Name() string { return "bench" }
func (*benchCommand) Synopsis() string {
	return "measure a policy on a site, under load and faults, or compare policies"
}
func (*benchCommand) Usage() string {
	return `pierctl bench [--site NAME|FILE.json] [--policy NAME] [--for DURATION] [--seed N] [--load X]
              [--faults NAME] [--oracle] [--json] [--plot FILE.svg]
pierctl bench --compare NAME,NAME,... --seeds N,N,... [...]
  Runs a site's entry hosts beside imitated upstreams in real time and sends
  its demand, open loop. Policies: ` + strings.Join(bench.Policies(), ", ") + `.
  Faults: ` + strings.Join(site.Scenarios(), ", ") + `; joined by + they run together.
  --compare runs the policies by turns on each seed and prints ratios to the
  best baseline. Exit 0: sound; 1: something of the product's was lost,
  doubled, cut, crossed, overcommitted or unreachable, or the run failed; 2: usage.
`
}

func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.site, "site", "kathmandu", "built-in `site` or site file")
	f.StringVar(&c.cfg.Policy, "policy", bench.Product, "`policy` to run")
	f.DurationVar(&c.cfg.Duration, "for", time.Minute, "`length` of the traffic")
	f.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of the traffic")
	f.Float64Var(&c.cfg.LoadFactor, "load", 1, "`factor` on the site's demand")
	f.StringVar(&c.cfg.Scenario, "faults", "", "course of `faults`")
	f.StringVar(&c.policies, "compare", "", "`policies` to compare, separated by commas")
	f.StringVar(&c.seeds, "seeds", "1,2,3", "`seeds` of a comparison")
	f.BoolVar(&c.withOracle, "oracle", false, "run the oracle on the same seed too, as an upper bound")
	f.BoolVar(&c.printJSON, "json", false, "print one JSON object at the end")
	f.StringVar(&c.plot, "plot", "", "write a plot to this SVG `file`")
}

func (c *benchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	seeds, err := parseSeeds(c.seeds)
	if f.NArg() > 0 || c.cfg.Duration <= 0 || c.cfg.LoadFactor <= 0 || err != nil {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	if c.cfg.Site, err = site.Load(c.site); err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	c.cfg.Progress = showProgress
	sound := false
	if c.policies != "" {
		sound, err = c.runComparison(ctx, seeds)
	} else {
		sound, err = c.runOne(ctx)
	}
	if err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	if !sound {
		return exit.Failed
	}
	return exit.OK
}

func parseSeeds(list string) ([]uint64, error) {
	var out []uint64
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

// runOne measures one policy, and the oracle on the same seed if asked to. It reports
// whether the run was sound.
func (c *benchCommand) runOne(ctx context.Context) (sound bool, err error) {
	r, err := bench.RunPolicy(ctx, c.cfg)
	if err != nil {
		return false, err
	}
	if c.withOracle {
		bound := c.cfg
		bound.Policy = bench.Oracle
		o, err := bench.RunPolicy(ctx, bound)
		if err != nil {
			return false, err
		}
		r.OracleAttainment = &o.Attainment
	}
	if c.plot != "" {
		if err := r.Plot(c.plot); err != nil {
			return false, err
		}
	}
	if c.printJSON {
		return r.InvariantsHold(), json.NewEncoder(os.Stdout).Encode(r)
	}
	printRun(os.Stdout, r)
	return r.InvariantsHold(), nil
}

// runComparison measures several policies on each seed. It reports whether all runs of the
// product's own policy were sound; baselines need not be.
func (c *benchCommand) runComparison(ctx context.Context, seeds []uint64) (sound bool, err error) {
	result, err := bench.Compare(ctx, c.cfg, strings.Split(c.policies, ","), seeds, func(r *bench.Run) {
		fmt.Fprintf(os.Stderr, "\rseed %d %-12s attainment %.4f urgent %.4f moves %d%20s\n", r.Seed, r.Policy, r.Attainment, r.UrgentAttainment, r.ModelLoads, "")
	})
	if err != nil {
		return false, err
	}
	if c.plot != "" {
		if err := result.Plot(c.plot); err != nil {
			return false, err
		}
	}
	sound = true
	for _, row := range result.Summaries {
		if row.Policy == bench.Product {
			sound = row.Sound
		}
	}
	if c.printJSON {
		return sound, json.NewEncoder(os.Stdout).Encode(result)
	}
	printComparison(os.Stdout, result)
	return sound, nil
}

func printRun(w io.Writer, r *bench.Run) {
	printReport(w, r.Report)
	fmt.Fprintf(w, "  urgent answered in time %.4f, history %s\n", r.UrgentAttainment, r.History)
	if r.OracleAttainment != nil {
		fmt.Fprintf(w, "  oracle's attainment %.4f\n", *r.OracleAttainment)
	}
}

func printComparison(w io.Writer, c *bench.Comparison) {
	fmt.Fprintf(w, "%s, seeds %v; mean (least to most) over seeds\n", c.Site, c.Seeds)
	for _, r := range c.Summaries {
		fmt.Fprintf(w, "%-12s per accelerator %s ratio %s attainment %s urgent %s moves %s ratio %s unreachable %s overcommits %s sound %v\n", r.Policy,
			formatSpread(r.AttainmentPerAccelerator, 1), formatSpread(r.AttainmentRatio, 3), formatSpread(r.Attainment, 4), formatSpread(r.UrgentAttainment, 4), formatSpread(r.Moves, 1),
			formatSpread(r.MoveRatio, 2), formatSpread(r.UnreachableModels, 1), formatSpread(r.Overcommits, 1), r.Sound)
	}
}

// formatSpread returns a spread as "mean (min to max)".
func formatSpread(s bench.Spread, digits int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Mean, digits, s.Min, digits, s.Max)
}
