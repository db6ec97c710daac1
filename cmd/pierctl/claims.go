package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/standin/claimbench"
)

// claimsCommand measures how much load the claims of requests that may not be repeated put
// on the table service.
type claimsCommand struct {
	mode       string
	quietSite  bool
	killWriter bool
	duration   time.Duration
	seed       uint64
	printJSON  bool
}

func (*claimsCommand) Name() string { return "claims" }
func (*claimsCommand) Synopsis() string {
	return "measure what claims of requests that may not be repeated cost the table service"
}
func (*claimsCommand) Usage() string {
	return `pierctl claims [--mode batched|rows|ranges] [--quiet] [--kill] [--for DURATION] [--seed N] [--json]
  Drives the claims of the design size, 1,500 a second on 420 hosts, against a
  table service limited to 300 writes a second, in one process. --quiet: those
  of a quiet site of today. --kill: the first writer dies at half time.
  Exit 0: measured; 1: a request ran twice, or the run failed; 2: usage.
`
}

func (c *claimsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.mode, "mode", string(claimbench.Batched), "how claims are kept")
	f.BoolVar(&c.quietSite, "quiet", false, "a quiet site of today in place of the design size")
	f.BoolVar(&c.killWriter, "kill", false, "kill a writer at half time")
	f.DurationVar(&c.duration, "for", 10*time.Second, "`length` of the load")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the load")
	f.BoolVar(&c.printJSON, "json", false, "print one JSON object")
}

func (c *claimsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	modes := []claimbench.Mode{claimbench.Rows, claimbench.Batched, claimbench.Ranges}
	if f.NArg() > 0 || c.duration <= 0 || !slices.Contains(modes, claimbench.Mode(c.mode)) {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	cfg := claimbench.DesignSize(claimbench.Mode(c.mode))
	if c.quietSite {
		cfg = claimbench.QuietSite(cfg.Mode)
	}
	cfg.KillWriter, cfg.Duration, cfg.Seed = c.killWriter, c.duration, c.seed
	r, err := claimbench.Run(ctx, cfg)
	if err != nil {
		return exit.Print(os.Stderr, c.printJSON, err)
	}
	if c.printJSON {
		_ = json.NewEncoder(os.Stdout).Encode(r)
	} else {
		printClaims(os.Stdout, r)
	}
	if r.Duplicates > 0 {
		return exit.Failed
	}
	return exit.OK
}

func printClaims(w io.Writer, r claimbench.Report) {
	fmt.Fprintf(w, "%s, %d hosts, %d requests/s for %s, seed %d\n", r.Config.Mode, r.Config.Hosts, r.Config.Rate, r.Config.Duration, r.Config.Seed)
	fmt.Fprintf(w, "  offered %d: completed %d, refused %d, repeats %d; ran twice %d, unsettled %d\n",
		r.Offered, r.Completed, r.Refused, r.Repeated, r.Duplicates, r.Pending)
	fmt.Fprintf(w, "  %.0f claims/s with %.0f commits/s, %.0f%% of %.0f writes/s; %d commits limited\n",
		r.ClaimsPerSecond, r.CommitsPerSecond, 100*r.BudgetShare, r.Config.WritesPerSecond, r.LimitedCommits)
	fmt.Fprintf(w, "  claim p50 %.1f ms, p99 %.1f ms; end p99 %.1f ms\n", r.ClaimP50Ms, r.ClaimP99Ms, r.CompleteP99Ms)
	if r.Config.KillWriter {
		fmt.Fprintf(w, "  after the death of a writer: %.0f ms to the next claim there, of it %.0f ms reading\n", r.RecoveryMs, r.OpenMs)
	}
}
