package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/operator"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/operatorapi"
)

func auditCommand() subcommands.Command {
	var before, limit uint64
	return &operatorCommand{
		name: "audit", synopsis: "read the audit trail of changes, newest first",
		usage: "pierctl audit [--before VERSION] [--limit N]\n",
		setFlags: func(f *flag.FlagSet) {
			f.Uint64Var(&before, "before", 0, "start below this `version`; 0: at the newest")
			f.Uint64Var(&limit, "limit", 20, "entries in one page")
		},
		run: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			if len(args) > 0 {
				return nil, nil, errArguments
			}
			var p operatorapi.AuditPage
			query := url.Values{"before": {strconv.FormatUint(before, 10)}, "limit": {strconv.FormatUint(limit, 10)}}
			if err := c.Call(ctx, http.MethodGet, "/v1/audit", query, nil, &p); err != nil {
				return nil, nil, err
			}
			return p, func() { printAudit(p) }, nil
		},
	}
}

func printAudit(p operatorapi.AuditPage) {
	for _, e := range p.Entries {
		fmt.Printf("%d  %s  %s  %s (from %d)\n", e.Version, e.At.Format(time.RFC3339), e.Author, e.Action, e.FromVersion)
		fmt.Println("    " + strings.Join(e.Changes, "\n    "))
	}
	if p.Next > 0 {
		fmt.Printf("more: pierctl audit --before %d\n", p.Next)
	}
}

func requestCommand() subcommands.Command {
	return &operatorCommand{
		name: "request", synopsis: "list, show or cancel callers' requests",
		usage: "pierctl request list | show ID | cancel ID\n",
		run: func(ctx context.Context, c *operator.Client, args []string) (any, func(), error) {
			switch {
			case len(args) == 1 && args[0] == "list":
				return requestList(ctx, c)
			case len(args) == 2 && args[0] == "show":
				var q inflight.Request
				if err := c.Call(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(args[1]), nil, nil, &q); err != nil {
					return nil, nil, err
				}
				return q, func() { printRequest(q) }, nil
			case len(args) == 2 && args[0] == "cancel":
				if err := c.Call(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(args[1]), nil, nil, nil); err != nil {
					return nil, nil, err
				}
				return map[string]string{"cancelled": args[1]}, func() { fmt.Println("cancelled", args[1]) }, nil
			}
			return nil, nil, errArguments
		},
	}
}

func requestList(ctx context.Context, c *operator.Client) (any, func(), error) {
	var l operatorapi.RequestList
	if err := c.Call(ctx, http.MethodGet, "/v1/requests", nil, nil, &l); err != nil {
		return nil, nil, err
	}
	return l, func() {
		for _, q := range l.Requests {
			printRequest(q)
		}
	}, nil
}

func printRequest(q inflight.Request) {
	fmt.Printf("%s  team %s  %s  %s  %s  since %s  upstream %s  attempt %s  %s\n", q.ID, q.Team, q.Target, q.Class, q.State,
		q.Started.Format(time.RFC3339), q.Upstream, q.Attempt, q.Code)
}
