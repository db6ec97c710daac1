package local

import (
	"context"
	"time"

	"peridotpier.example/standin/site"
)

// FaultTargets are what a scenario of faults acts on.
func (r *RunningSite) FaultTargets() site.Targets {
	return site.Targets{Upstreams: r.Upstreams, Hosts: hostController{r}, Store: storeFaults{r}}
}

// hostController lets scenarios act on the entry hosts.
type hostController struct{ r *RunningSite }

// Kill implements site.Nodes.
func (h hostController) Kill(host int) error {
	h.r.Kill(host)
	return nil
}

// Stop implements site.Nodes.
func (h hostController) Stop(_ context.Context, host int) error { return h.r.Stop(host) }

// Replace implements site.Nodes.
func (h hostController) Replace(ctx context.Context, host int) error { return h.r.Replace(ctx, host) }

// storeFaults lets scenarios act on table service and object store together.
type storeFaults struct{ r *RunningSite }

// StartOutage implements site.StoreFaultsFaults.
func (s storeFaults) StartOutage(d time.Duration) {
	s.r.Table.Faults.StartOutage(d)
	s.r.Objects.Faults.StartOutage(d)
}

// LoseAnswers implements site.StoreFaultsFaults.
func (s storeFaults) LoseAnswers(share float64) { s.r.Table.Faults.LoseAnswers(share) }
