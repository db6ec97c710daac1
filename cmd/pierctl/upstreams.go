package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/node/host"
)

// upstreamsCommand lists the upstreams that are draining, state a rate limit or asked for a
// backoff.
type upstreamsCommand struct{ hostPage }

// Name implements subcommands.Command, as do the methods below.
func (*upstreamsCommand) Name() string { return "upstreams" }
func (*upstreamsCommand) Synopsis() string {
	return "list the upstreams that leave, name a limit or asked for rest"
}
func (*upstreamsCommand) Usage() string {
	return `pierctl upstreams --metrics IP:PORT [--json]
  Asks a host of a routed deployment, at its metrics address. Any host knows who
  leaves and who names a limit; a rest is that host's own.
`
}

func (c *upstreamsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.execute(ctx, f, c.Usage(), c.run)
}

func (c *upstreamsCommand) run(ctx context.Context) error {
	return listPage(ctx, &c.hostPage, host.UpstreamsPath, func(u *host.RestrictedUpstream) string {
		return fmt.Sprintf("%s  %s  %s", u.Upstream, u.Service, describeRestrictions(u))
	})
}

// describeRestrictions returns the restrictions of one upstream as text, "" without any.
func describeRestrictions(u *host.RestrictedUpstream) string {
	out := ""
	if u.Draining {
		out += "leaves  "
	}
	if u.Limit != nil {
		out += fmt.Sprintf("takes %g/s of all hosts  ", *u.Limit)
	}
	if u.BackoffMs > 0 {
		out += fmt.Sprintf("rests for %v  ", time.Duration(u.BackoffMs)*time.Millisecond)
	}
	if u.InSlowStart {
		out += "slow start  "
	}
	if u.SinceMs > 0 {
		out += fmt.Sprintf("since %v, heard by %s", time.Duration(u.SinceMs)*time.Millisecond, u.Source)
	}
	return out
}
