package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/node/coordinator/coordpb"
)

// Hosts that reach no upstream have others forward their requests. The acting coordinator
// names them a few that reach upstreams.

const (
	// maxDetours is how many hosts an answer names: enough that some are left after a few
	// fail, and few enough that a host keeps connections open to all of them.
	maxDetours = 8
	// firstInDataCentre is how many of them are of the asking host's data centre, if others
	// are known: fewer than a request is offered to, since all of it may be partitioned.
	firstInDataCentre = 3
	// fewHosts is up to how many hosts all are told of detours while none is partitioned,
	// every detourRefresh: a partitioned host then needs no round trip. It costs each some
	// 200 bytes a second.
	fewHosts      = 16
	detourRefresh = time.Second
)

// detourHost is a host that forwards requests of partitioned hosts.
type detourHost struct {
	host, dataCentre, address string
	order                     uint64 // a hash of the host's name
}

// detourHosts are the hosts that forward requests, each list ordered by hash, in which data
// centres alternate.
type detourHosts struct {
	all          []detourHost
	byDataCentre map[string][]detourHost
}

// DetoursFor returns the addresses of hosts through which the reporting host can send
// requests: a few of its own data centre first, then those of others, in an order that
// differs between hosts, so that partitioned hosts do not all use the same one.
func (a *Aggregate) DetoursFor(r *coordpb.HostReport, now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.hosts[r.Host]
	if h == nil || !r.Partitioned && (len(a.hosts) > fewHosts || now.Sub(h.detoursAt) < detourRefresh) {
		return nil
	}
	h.detoursAt = now
	all := a.detourHostsLocked(now)
	return all.pick(r.Host, r.DataCentre)
}

// detourHostsLocked returns the hosts that reach upstreams and forward requests, at most
// once per expiryInterval anew: all hosts of a data centre may ask at once.
func (a *Aggregate) detourHostsLocked(now time.Time) detourHosts {
	if !a.detoursAt.IsZero() && now.Sub(a.detoursAt) < expiryInterval {
		return a.cachedDetours
	}
	out := detourHosts{byDataCentre: map[string][]detourHost{}}
	for _, h := range a.hosts {
		if r := h.report; !r.Partitioned && r.DetourAddress != "" && h.fresh(now) {
			out.all = append(out.all, detourHost{r.Host, r.DataCentre, r.DetourAddress, xxhash.Sum64String(r.Host)})
		}
	}
	slices.SortFunc(out.all, func(x, y detourHost) int { return cmp.Compare(x.order, y.order) })
	for _, h := range out.all {
		out.byDataCentre[h.dataCentre] = append(out.byDataCentre[h.dataCentre], h)
	}
	a.cachedDetours, a.detoursAt = out, now
	return out
}

// pick returns at most maxDetours addresses for a host, each list from its own place in
// the order on.
func (d *detourHosts) pick(host, dataCentre string) []string {
	var out []string
	limit := firstInDataCentre
	order := xxhash.Sum64String(host)
	add := func(from []detourHost, wanted func(*detourHost) bool) {
		first, _ := slices.BinarySearchFunc(from, order, func(h detourHost, at uint64) int { return cmp.Compare(h.order, at) })
		for i := 0; i < len(from) && len(out) < limit; i++ {
			if h := &from[(first+i)%len(from)]; h.host != host && wanted(h) && !slices.Contains(out, h.address) {
				out = append(out, h.address)
			}
		}
	}
	own := d.byDataCentre[dataCentre]
	add(own, func(*detourHost) bool { return true })
	limit = maxDetours
	add(d.all, func(h *detourHost) bool { return h.dataCentre != dataCentre })
	add(own, func(*detourHost) bool { return true })
	return out
}

// AnyOtherReaching reports whether another host that reports here reaches upstreams and
// may take the lease: one with spare capacity, or a small one too.
func (a *Aggregate) AnyOtherReaching(small bool, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if r := h.report; (small || r.Ample) && !r.Partitioned && r.Address != "" && r.Address != a.cfg.OwnAddress && h.fresh(now) {
			return true
		}
	}
	return false
}
