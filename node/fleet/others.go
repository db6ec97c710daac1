package fleet

import (
	"maps"
	"sync/atomic"
	"time"
)

// others are the sums of what the other hosts have sent, as told last, by service.
// They are replaced whole: what is not named has none, so that nothing has to be
// told of an upstream for it to have none.
type others struct {
	of atomic.Pointer[map[string]*otherLoads]
}

// otherLoads are those of one service.
type otherLoads struct {
	loads map[string]Load // by upstream
	until time.Time       // when they are too old to go by
}

// at is the others' load at an entry; false: it is not known.
func (o *others) at(e *Entry, now time.Time) (Load, bool) {
	all := o.of.Load()
	if all == nil {
		return Load{}, false
	}
	told := (*all)[e.service]
	if told == nil || !now.Before(told.until) {
		return Load{}, false
	}
	return told.loads[e.id], true
}

// SetOtherHostsLoad takes the sums of the other hosts' loads at a service's upstreams, which
// are gone by until then.
func (f *Fleet) SetOtherHostsLoad(service string, loads map[string]Load, until time.Time) {
	told := &otherLoads{loads: loads, until: until}
	for {
		former := f.others.of.Load()
		next := map[string]*otherLoads{}
		if former != nil {
			maps.Copy(next, *former)
		}
		next[service] = told
		if f.others.of.CompareAndSwap(former, &next) {
			return
		}
	}
}
