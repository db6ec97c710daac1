package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"peridotpier.example/node/coordinator/permits/queue"
	"peridotpier.example/node/host"
)

// hostStatusCommand shows which coordinator a host of a routed deployment follows, and the
// traffic between the hosts.
type hostStatusCommand struct{ hostPage }

// Name implements subcommands.Command, as do the methods below.
func (*hostStatusCommand) Name() string { return "hoststatus" }
func (*hostStatusCommand) Synopsis() string {
	return "show whom a host goes by, how often it reports, and what hosts tell each other"
}
func (*hostStatusCommand) Usage() string {
	return `pierctl hoststatus --metrics IP:PORT [--json]
  Asks a host of a routed deployment, at its metrics address. The one that acts for
  all shows by field what it tells the others, and which teams' requests wait for a
  permit: how many and since when, the team's part of the weights of the teams that
  asked in the last seconds (share), of the work that was granted (got) and of the work
  that was asked for (asked), and the models that the requests wait for.
`
}

func (c *hostStatusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.execute(ctx, f, c.Usage(), c.run)
}

func (c *hostStatusCommand) run(ctx context.Context) error {
	data, err := callPage(ctx, http.MethodGet, c.address, host.StatusPath)
	if err != nil {
		return err
	}
	if c.printJSON {
		_, err = os.Stdout.Write(data)
		return err
	}
	var s host.Status
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("answer of %s: %w", c.address, err)
	}
	printHostStatus(&s)
	return nil
}

func printHostStatus(s *host.Status) {
	coordinator := cmp.Or(s.Coordinator, "nobody")
	if s.Acting {
		coordinator = "itself; it acts for all"
	}
	fmt.Printf("%s in %s: ready %t, goes by %s, holds the lease %t\n", s.Host, s.DataCentre, s.Ready, coordinator, s.HoldsLease)
	fmt.Printf("%d hosts, a report each %d ms; %d upstreams of version %d, configuration %d\n", s.Hosts, s.ReportMs, s.Upstreams, s.ListVersion, s.Configuration)
	fmt.Printf("the store's era %d, that of the list %d\n", s.StoreEra, s.ListEra)
	if s.PartitionedMs > 0 {
		fmt.Printf("reaches no upstream for %d ms, noticed by %s; other hosts forward at %s\n", s.PartitionedMs, s.PartitionedBy, cmp.Or(strings.Join(s.Detours, " "), "none"))
	}
	printSpeeds(s.Speeds)
	printWaiting(s.Waiting)
	printTeamLimits(&s.Limits)
	for _, part := range []struct {
		title string
		by    map[string]int64
	}{{"calls of this host", s.PeerCalls}, {"bytes", s.PeerBytes}, {"calls of the store", s.StoreCalls}, {"answers unproven", s.Unproven}} {
		for _, kind := range slices.Sorted(maps.Keys(part.by)) {
			fmt.Printf("%-20s %-32s %d\n", part.title, kind, part.by[kind])
		}
	}
	printPlaces(&s.Places)
}

// maxLinesOfTeam is how many models of a team are printed; --json shows all.
const maxLinesOfTeam = 4

func printWaiting(teams []queue.TeamStatus) {
	for i := range teams {
		t := &teams[i]
		fmt.Printf("waiting: %-16s team %-16s %5d, the oldest for %d ms; share %.3f, got %.3f, asked %.3f\n", t.Service, cmp.Or(t.Team, "-"),
			t.Waiting, t.OldestMs, t.Share, t.Granted, t.Asked)
		for j, l := range t.Lines {
			if j == maxLinesOfTeam {
				fmt.Printf("           and for %d more\n", len(t.Lines)-j)
				break
			}
			fmt.Printf("           %5d for %s in rank %d\n", l.Waiting, cmp.Or(l.Model, "plain calls"), l.Rank)
		}
	}
}
