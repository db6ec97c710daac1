package local

import (
	"context"
	"net"
	"slices"
	"time"

	"peridotpier.example/node/store"
)

const (
	// hostCheckEvery is how often the platform's stand-in looks which entry
	// hosts are there.
	hostCheckEvery = time.Second
	hostCheckBound = 500 * time.Millisecond
)

// watchHosts keeps the platform's list of hosts true until ctx ends: it shows
// those entry hosts which take callers' connections.
func (o *StandInServer) watchHosts(ctx context.Context) {
	var shown []store.Host
	for {
		if now := o.present(ctx); !slices.Equal(now, shown) {
			shown = now
			o.HostList.Set(append(o.Upstreams.Hosts(), now...)...)
		}
		if !pause(ctx, hostCheckEvery) {
			return
		}
	}
}

// present are the entry hosts that take connections.
func (o *StandInServer) present(ctx context.Context) []store.Host {
	var out []store.Host
	dialer := net.Dialer{Timeout: hostCheckBound}
	for _, e := range o.Layout.Entries {
		c, err := dialer.DialContext(ctx, "tcp", e.Caller)
		if err != nil {
			continue
		}
		_ = c.Close()
		out = append(out, store.Host{Name: e.Host, Address: e.Peer, DataCentre: e.DataCentre,
			Role: store.RoleEntry, State: store.HostLive})
	}
	return out
}
