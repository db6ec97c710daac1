package local

import (
	"context"
	"net/http"
	"time"

	"peridotpier.example/standin/load"
)

// hostReadyInterval is the interval at which ReadyBalancer asks each host whether it is
// ready. Hosts continue to serve for longer than this after they report "not ready".
const hostReadyInterval = 200 * time.Millisecond

// ReadyBalancer is a balancer over the hosts of a layout that report themselves ready.
type ReadyBalancer struct {
	*load.Balancer
	layout *Layout
	client *http.Client
}

// NewReadyBalancer returns a balancer that has no host yet; Refresh and Run add those
// that are ready.
func NewReadyBalancer(l *Layout) *ReadyBalancer {
	return &ReadyBalancer{Balancer: load.NewBalancer(), layout: l, client: &http.Client{Timeout: time.Second}}
}

// Refresh asks every host once, updates the balancer and returns the number of ready
// hosts.
func (b *ReadyBalancer) Refresh(ctx context.Context) int {
	var ready []string
	for _, e := range b.layout.Entries {
		if b.isReady(ctx, e.Operator) {
			ready = append(ready, e.Caller)
		}
	}
	b.Set(ready...)
	return len(ready)
}

// Run refreshes the balancer regularly until ctx ends.
func (b *ReadyBalancer) Run(ctx context.Context) {
	for sleep(ctx, hostReadyInterval) {
		b.Refresh(ctx)
	}
}

// maxReadyWait is the longest time that hosts may take to become ready; a few seconds
// are usual.
const maxReadyWait = 30 * time.Second

// AwaitAllReady waits until every host of the layout is ready, for maxReadyWait at most.
func (b *ReadyBalancer) AwaitAllReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxReadyWait)
	defer cancel()
	for b.Refresh(ctx) < len(b.layout.Entries) {
		if !sleep(ctx, hostReadyInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (b *ReadyBalancer) isReady(ctx context.Context, operator string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
