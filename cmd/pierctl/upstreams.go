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

// upstreamsCommand lists the upstreams that ask for something.
type upstreamsCommand struct {
	address string
	json    bool
}

// Name implements subcommands.Command, as the methods below do.
func (*upstreamsCommand) Name() string { return "upstreams" }
func (*upstreamsCommand) Synopsis() string {
	return "list the upstreams that leave, name a limit or asked for rest"
}
func (*upstreamsCommand) Usage() string {
	return `upstreams --metrics IP:PORT [--json]
  Asks a host of a routed deployment, at its metrics address. Any host knows who
  leaves and who names a limit; a rest is that host's own.
`
}

func (c *upstreamsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "metrics", "", "metrics address of a host, IP:port")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *upstreamsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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

func (c *upstreamsCommand) run(ctx context.Context) error {
	data, err := callPage(ctx, http.MethodGet, c.address, host.UpstreamsPath)
	if err != nil {
		return err
	}
	if c.json {
		_, err = os.Stdout.Write(data)
		return err
	}
	var all []host.AskingUpstream
	if err := json.Unmarshal(data, &all); err != nil {
		return fmt.Errorf("answer of %s: %w", c.address, err)
	}
	for _, u := range all {
		fmt.Printf("%s  %s  %s\n", u.Upstream, u.Service, asked(&u))
	}
	return nil
}

// asked says what one upstream asks for.
func asked(u *host.AskingUpstream) string {
	out := ""
	if u.Leaving {
		out += "leaves  "
	}
	if u.Limit != nil {
		out += fmt.Sprintf("takes %g/s of all hosts  ", *u.Limit)
	}
	if u.RestMs > 0 {
		out += fmt.Sprintf("rests for %v  ", time.Duration(u.RestMs)*time.Millisecond)
	}
	if u.Starting {
		out += "slow start  "
	}
	if u.SinceMs > 0 {
		out += fmt.Sprintf("since %v, heard by %s", time.Duration(u.SinceMs)*time.Millisecond, u.Source)
	}
	return out
}
