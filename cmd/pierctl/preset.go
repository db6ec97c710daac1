package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/cmd/internal/operator"
	"peridotpier.example/node/operatorapi"
)

func presetCommand() subcommands.Command {
	var dryRun bool
	var parent uint64
	return &operatorCommand{
		name: "preset", synopsis: "list, show or switch presets",
		usage: "pierctl preset list | show [NAME] | use NAME [--dry-run] [--parent VERSION]\n",
		setFlags: func(f *flag.FlagSet) {
			f.BoolVar(&dryRun, "dry-run", false, "with use: only show what would move, and within which time")
			f.Uint64Var(&parent, "parent", 0, "with use: refuse if another `version` is in force by now; 0: whichever")
		},
		run: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			switch {
			case len(args) == 1 && args[0] == "list":
				return presetList(ctx, c)
			case len(args) >= 1 && len(args) <= 2 && args[0] == "show":
				return presetShow(ctx, c, args[1:])
			case len(args) == 2 && args[0] == "use" && dryRun:
				return presetDryRun(ctx, c, args[1])
			case len(args) == 2 && args[0] == "use":
				return presetUse(ctx, c, args[1], parent)
			}
			return nil, nil, errArguments
		},
	}
}

func presetList(ctx context.Context, c *operator.Client) (any, func(), error) {
	var p operatorapi.Presets
	if err := c.Call(ctx, http.MethodGet, "/v1/presets", nil, nil, &p); err != nil {
		return nil, nil, err
	}
	return p, func() {
		for _, x := range p.Presets {
			mark := " "
			if x.Name == p.InForce {
				mark = "*"
			}
			fmt.Println(mark, x.Name)
		}
	}, nil
}

func presetShow(ctx context.Context, c *operator.Client, names []string) (any, func(), error) {
	var p operatorapi.Presets
	if err := c.Call(ctx, http.MethodGet, "/v1/presets", nil, nil, &p); err != nil {
		return nil, nil, err
	}
	name := p.InForce
	if len(names) == 1 {
		name = names[0]
	}
	for _, x := range p.Presets {
		if x.Name == name {
			return x, func() {
				w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
				fmt.Fprintf(w, "preset\t%s\nurgent headroom\t%.2f\nmoves per minute\t%g\nspread threshold\t%.2f\nbulk share\t%.2f\naccepts bulk\t%t\n",
					x.Name, x.UrgentHeadroom, x.MovesPerMinute, x.SpreadThreshold, x.BulkShare, x.AcceptBulk)
				_ = w.Flush()
			}, nil
		}
	}
	return nil, nil, &exit.Error{Code: exit.NotFound, Err: fmt.Errorf("there is no preset %q", name), Hint: "pierctl preset list shows them"}
}

func presetDryRun(ctx context.Context, c *operator.Client, name string) (any, func(), error) {
	var d operatorapi.DryRun
	if err := c.Call(ctx, http.MethodPost, "/v1/presets/"+url.PathEscape(name), url.Values{"dry_run": {"1"}}, nil, &d); err != nil {
		return nil, nil, err
	}
	return d, func() {
		for _, m := range d.Moves {
			fmt.Println(m.Kind, m.Model, m.Adapter, "on", m.Upstream, m.Reason)
		}
		if d.Pools == 0 {
			fmt.Println("no host has planned any pool yet; ask again in some seconds")
			return
		}
		fmt.Printf("%d moves, done within %s\n", len(d.Moves), d.Bound)
	}, nil
}

func presetUse(ctx context.Context, c *operator.Client, name string, parent uint64) (any, func(), error) {
	var a operatorapi.Applied
	query := url.Values{}
	if parent != 0 {
		query.Set("parent", strconv.FormatUint(parent, 10))
	}
	if err := c.Call(ctx, http.MethodPost, "/v1/presets/"+url.PathEscape(name), query, nil, &a); err != nil {
		return nil, nil, err
	}
	return a, func() { fmt.Printf("preset %s is in force with version %d\n", a.Head.Preset, a.Head.Version) }, nil
}
