package local

import (
	"context"
	"time"

	"peridotpier.example/standin/site"
)

// FaultTargets are what a scenario of faults acts on.
func (r *RunningSite) FaultTargets() site.Targets {
	return site.Targets{Upstreams: r.Upstreams, Hosts: hosts{r}, Store: stores{r}}
}

// hosts lets scenarios act on the entry hosts.
type hosts struct{ r *RunningSite }

// Kill implements site.Nodes.
func (h hosts) Kill(host int) error {
	h.r.Kill(host)
	return nil
}

// Stop implements site.Nodes.
func (h hosts) Stop(_ context.Context, host int) error { return h.r.Stop(host) }

// Replace implements site.Nodes.
func (h hosts) Replace(ctx context.Context, host int) error { return h.r.Replace(ctx, host) }

// stores lets scenarios act on table service and object store together.
type stores struct{ r *RunningSite }

// StartOutage implements site.StoreFaultsFaults.
func (s stores) StartOutage(d time.Duration) {
	s.r.Table.Faults.StartOutage(d)
	s.r.Objects.Faults.StartOutage(d)
}

// LoseAnswers implements site.StoreFaultsFaults.
func (s stores) LoseAnswers(share float64) { s.r.Table.Faults.LoseAnswers(share) }
