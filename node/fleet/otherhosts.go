package fleet

import (
	"maps"
	"sync/atomic"
	"time"
)

// otherHostsLoad are the sums of what the other hosts have sent, as told last, by service.
// They are replaced whole: what is not named has none, so that nothing has to be
// told of an upstream for it to have none.
type otherHostsLoad struct {
	byService atomic.Pointer[map[string]*serviceLoads]
}

// serviceLoads are those of one service.
type serviceLoads struct {
	loads      map[string]Load // by upstream
	validUntil time.Time       // when they are too old to go by
}

// at is the others' load at an entry; false: it is not known.
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

// SetOtherHostsLoad takes the sums of the other hosts' loads at a service's upstreams, which
// are gone by until then.
func (f *Fleet) SetOtherHostsLoad(service string, loads map[string]Load, validUntil time.Time) {
	own := &serviceLoads{loads: loads, validUntil: validUntil}
	for {
		former := f.otherHosts.byService.Load()
		next := map[string]*serviceLoads{}
		if former != nil {
			maps.Copy(next, *former)
		}
		next[service] = own
		if f.otherHosts.byService.CompareAndSwap(former, &next) {
			return
		}
	}
}
