package main

import (
	"fmt"
	"io"
	"strings"

	"peridotpier.example/standin/local"
	"peridotpier.example/standin/site"
)

// printIntroduction prints command lines that use a running site and work unchanged. curl is
// the beginning of the curl lines; pierctl is the format of the pierctl lines, or "" to print
// none.
func printIntroduction(w io.Writer, s *site.Site, r *local.RunningSite, curl, pierctl string) {
	d := &s.Deployment
	team := d.Teams[len(d.Teams)-1]
	key := s.TeamKey(team.Name)
	hosts := r.Addresses()
	base := "http://" + hosts[len(hosts)-1]
	if r.Authority != nil {
		base = "https://" + hosts[len(hosts)-1]
	}
	model := d.Models[0].Name
	fmt.Fprintf(w, "%s: %d entry hosts, %d upstreams, %d models, %d adapters\n\n", d.Site, len(r.Addresses()), len(d.Upstreams), len(d.Models), len(d.Adapters))
	fmt.Fprintf(w, "# the models of team %s\n%s -s %s/v1/models -H 'Authorization: Bearer %s'\n\n", team.Name, curl, base, key)
	fmt.Fprintf(w, "# a stream\n%s -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", curl, base, key, model)
	if len(d.Services) > 0 {
		fmt.Fprintf(w, "# a call that may not be repeated: send it twice, it runs once\n%s -si %s/v1/services/%s/dispatch-notes -H 'Authorization: Bearer %s' -H 'Idempotency-Key: note-1' -d 'one box of zips'\n\n", curl, base, d.Services[0].Name, key)
	}
	if pierctl == "" {
		return
	}
	fmt.Fprintln(w, "# operators: the state of a host, what a switch of preset would move, the switch, who changed what")
	for _, do := range []string{"status", "preset use " + d.Presets[len(d.Presets)-1].Name + " --dry-run", "preset use " + d.Presets[len(d.Presets)-1].Name, "status --everywhere", "audit", "request list"} {
		fmt.Fprintf(w, pierctl+"\n", do, r.OperatorURL())
	}
	fmt.Fprintln(w)
}

func printReport(w io.Writer, r local.Report) {
	fmt.Fprintf(w, "\n%s, policy %s, seed %d, %.0f s\n", r.Site, r.Policy, r.Seed, r.Seconds)
	fmt.Fprintf(w, "  requests %d: completed %d, not run %d, unknown %d\n", r.Requests, r.Completed, r.NotRun, r.Unknown)
	fmt.Fprintf(w, "  lost %d, doubled %d, cut %d, crossed %d, not run but ran %d, overcommits %d, unreachable models %d\n",
		r.Lost, r.Duplicated, r.Truncated, r.Mismatched, r.FalseNotRun, r.Overcommits, r.UnreachableModels)
	fmt.Fprintf(w, "  attainment %.4f (bound %.4f), per accelerator %.1f on %d, moves %d\n",
		r.Attainment, r.AttainmentBound, r.AttainmentPerAccelerator, r.Accelerators, r.ModelLoads)
	if len(r.Presets) > 0 {
		fmt.Fprintf(w, "  presets put in force: %s\n", strings.Join(r.Presets, ", "))
	}
	fmt.Fprintf(w, "  first token p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.FirstTokenMs.P50, r.FirstTokenMs.P95, r.FirstTokenMs.P99)
}
