package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/node/host"
)

// quarantineCommand lists the requests that crash upstreams, or releases one from quarantine.
type quarantineCommand struct {
	hostPage
	release string
}

// Name implements subcommands.Command, as do the methods below.
func (*quarantineCommand) Name() string { return "quarantine" }
func (*quarantineCommand) Synopsis() string {
	return "list the requests that end upstreams, or end a bar"
}
func (*quarantineCommand) Usage() string {
	return `pierctl quarantine --metrics IP:PORT [--release DIGEST] [--json]
  Asks a host of a routed deployment, at its metrics address. Any host will do:
  a bar that one ends is ended at all within a second.
`
}

func (c *quarantineCommand) SetFlags(f *flag.FlagSet) {
	c.hostPage.SetFlags(f)
	f.StringVar(&c.release, "release", "", "digest of a request to serve again")
}

func (c *quarantineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.execute(ctx, f, c.Usage(), c.run)
}

func (c *quarantineCommand) run(ctx context.Context) error {
	if c.release != "" {
		_, err := callPage(ctx, http.MethodDelete, c.address, host.QuarantinePath+"/"+c.release)
		return err
	}
	return listPage(ctx, &c.hostPage, host.QuarantinePath, func(h *host.QuarantinedRequest) string {
		kind := "request"
		if h.Place > 0 {
			kind = fmt.Sprint("part ", h.Place)
		}
		return fmt.Sprintf("%s  %-7s  %-9s  crashes %d  bars %d  for %s", h.Content, kind, h.State, h.Crashes, h.Bars, time.Duration(h.ForMs)*time.Millisecond)
	})
}
