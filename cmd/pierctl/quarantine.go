package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/node/host"
)

// quarantineCommand lists the requests that end upstreams, and ends a bar.
type quarantineCommand struct {
	address string
	release string
	json    bool
}

// Name implements subcommands.Command, as the methods below do.
func (*quarantineCommand) Name() string { return "quarantine" }
func (*quarantineCommand) Synopsis() string {
	return "list the requests that end upstreams, or end a bar"
}
func (*quarantineCommand) Usage() string {
	return `quarantine --metrics IP:PORT [--release DIGEST] [--json]
  Asks a host of a routed deployment, at its metrics address. Any host will do:
  a bar that one ends is ended at all within a second.
`
}

func (c *quarantineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "metrics", "", "metrics address of a host, IP:port")
	f.StringVar(&c.release, "release", "", "digest of a request to serve again")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *quarantineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := netip.ParseAddrPort(c.address); err != nil || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return exit.Usage
	}
	ctx, cancel := context.WithTimeout(ctx, pageBound)
	defer cancel()
	if err := c.run(ctx); err != nil {
		return exit.Print(os.Stderr, c.json, err)
	}
	return exit.OK
}

func (c *quarantineCommand) run(ctx context.Context) error {
	if c.release != "" {
		_, err := callPage(ctx, http.MethodDelete, c.address, host.QuarantinePath+"/"+c.release)
		return err
	}
	data, err := callPage(ctx, http.MethodGet, c.address, host.QuarantinePath)
	if err != nil {
		return err
	}
	if c.json {
		_, err = os.Stdout.Write(data)
		return err
	}
	var held []host.HeldRequest
	if err := json.Unmarshal(data, &held); err != nil {
		return fmt.Errorf("answer of %s: %w", c.address, err)
	}
	for _, h := range held {
		fmt.Printf("%s  %-9s  crashes %d  bars %d  for %s\n", h.Content, h.State, h.Crashes, h.Bars, time.Duration(h.ForMs)*time.Millisecond)
	}
	return nil
}
