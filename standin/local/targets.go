package local

import (
	"context"
	"time"

	"peridotpier.example/standin/site"
)

// FaultTargets returns the parts of the site that a scenario of faults acts on.
func (r *RunningSite) FaultTargets() site.Targets {
	return site.Targets{Upstreams: r.Upstreams, Hosts: hostController{r}, Store: storeFaults{r}}
}

// hostController implements site.HostController on the entry hosts of a running site.
type hostController struct{ r *RunningSite }

// Kill implements site.HostController.
func (h hostController) Kill(host int) error {
	h.r.Kill(host)
	return nil
}

// Stop implements site.HostController.
func (h hostController) Stop(_ context.Context, host int) error { return h.r.Stop(host) }

// Replace implements site.HostController.
func (h hostController) Replace(ctx context.Context, host int) error { return h.r.Replace(ctx, host) }

// storeFaults implements site.StoreFaults on the table service and the object store of
// a running site.
type storeFaults struct{ r *RunningSite }

// StartOutage implements site.StoreFaults.
func (s storeFaults) StartOutage(d time.Duration) {
	s.r.Table.Faults.StartOutage(d)
	s.r.Objects.Faults.StartOutage(d)
}

// LoseAnswers implements site.StoreFaults. It affects only the table service.
func (s storeFaults) LoseAnswers(share float64) { s.r.Table.Faults.LoseAnswers(share) }
