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
  all shows by field what it tells the others.
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
	for _, part := range []struct {
		title string
		by    map[string]int64
	}{{"calls of this host", s.PeerCalls}, {"bytes", s.PeerBytes}, {"calls of the store", s.StoreCalls}} {
		for _, kind := range slices.Sorted(maps.Keys(part.by)) {
			fmt.Printf("%-20s %-32s %d\n", part.title, kind, part.by[kind])
		}
	}
	printPlaces(&s.Places)
}
