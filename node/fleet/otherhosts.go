package fleet

import (
	"maps"
	"sync/atomic"
	"time"
)

// otherHostsLoad holds the total loads that the other hosts have sent, by service, as
// last announced. The loads of a service are replaced as a whole: an upstream that is not
// named has none, so that nothing has to be announced for it.
type otherHostsLoad struct {
	byService atomic.Pointer[map[string]*serviceLoads]
}

// serviceLoads are the other hosts' loads at the upstreams of one service.
type serviceLoads struct {
	loads      map[string]Load // by upstream
	validUntil time.Time       // when they are too old to be used
}

// at returns the other hosts' load at an entry; false if it is not known.
func (o *otherHostsLoad) at(e *Entry, now time.Time) (Load, bool) {
	all := o.byService.Load()
	if all == nil {
		return Load{}, false
	}
	loads := (*all)[e.service]
	if loads == nil || !now.Before(loads.validUntil) {
		return Load{}, false
	}
	return loads.loads[e.id], true
}

// SetOtherHostsLoad sets the total loads of the other hosts at a service's upstreams.
// They are valid until validUntil.
func (f *Fleet) SetOtherHostsLoad(service string, loads map[string]Load, validUntil time.Time) {
	updated := &serviceLoads{loads: loads, validUntil: validUntil}
	for {
		former := f.otherHosts.byService.Load()
		next := map[string]*serviceLoads{}
		if former != nil {
			maps.Copy(next, *former)
		}
		next[service] = updated
		if f.otherHosts.byService.CompareAndSwap(former, &next) {
			return
		}
	}
}
