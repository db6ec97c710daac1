package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/operator"
	"peridotpier.example/node/operatorapi"
)

func statusCommand() subcommands.Command {
	var everywhere bool
	return &operatorCommand{
		name: "status", synopsis: "show a host's state, or which hosts have which version in force",
		usage: "pierctl status [--everywhere]\n",
		setFlags: func(f *flag.FlagSet) {
			f.BoolVar(&everywhere, "everywhere", false, "show which hosts have which version in force")
		},
		run: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			if len(args) > 0 {
				return nil, nil, errArguments
			}
			if everywhere {
				return statusEverywhere(ctx, c)
			}
			var s operatorapi.Status
			if err := c.Call(ctx, http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
				return nil, nil, err
			}
			return s, func() { printStatus(s) }, nil
		},
	}
}

func statusEverywhere(ctx context.Context, c *operator.Client) (any, func(), error) {
	var e operatorapi.Rollout
	if err := c.Call(ctx, http.MethodGet, "/v1/everywhere", nil, nil, &e); err != nil {
		return nil, nil, err
	}
	return e, func() {
		fmt.Printf("version %d\n", e.Version)
		for _, h := range e.Hosts {
			fmt.Printf("  %s has %d\n", h.Host, h.Version)
		}
		for _, h := range e.Waiting {
			fmt.Printf("  %s has not confirmed it (last known: %d)\n", h.Host, h.Version)
		}
	}, nil
}

func printStatus(s operatorapi.Status) {
	fmt.Printf("%s in %s: ready %t, draining %t, up %.0f s\n", s.Host, s.DataCentre, s.Ready, s.Draining, s.UptimeSeconds)
	fmt.Printf("configuration version %d (%s), preset %s; %d requests in flight, %d claims unsettled\n", s.Version, s.Freshness, s.Preset, s.InFlight, s.UnresolvedClaims)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "UPSTREAM\tPOOL\tDATA CENTRE\tSTATE\tRUNNING\tWAITING\tREPORT AGE\tREADY")
	for _, u := range s.Upstreams {
		state := "live"
		if u.Draining {
			state = "leaving"
		} else if u.Down {
			state = "down"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d ms\t%s\n", u.Name, u.Pool, u.DataCentre, state, u.Running, u.Waiting, u.ReportAgeMs, strings.Join(u.Ready, " "))
	}
	for _, p := range s.Peers {
		fmt.Fprintf(w, "peer %s\t\t%s\t%s\t\t\t\tlinked %t\n", p.Host, p.DataCentre, p.State, p.Linked)
	}
	for _, l := range s.Leases {
		fmt.Fprintf(w, "lease %s\t\t\theld %t\t\t\t\tepoch %d\n", l.Name, l.Held, l.Epoch)
	}
	_ = w.Flush()
}
