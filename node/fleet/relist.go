package fleet

import (
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
)

// sourceFormerEntry is the source of a drain that the list does not show any more.
const sourceFormerEntry = "its former entry"

// keepDrainingLocked makes a drain known to all hosts that a restored store's list does not
// show any more. A process that drains never becomes ready again.
func (e *Entry) keepDrainingLocked(now time.Time) {
	if e.signal.Draining {
		return
	}
	e.signal.Draining, e.announcedSignal.Draining = true, true
	e.signalledAt, e.signalSource = now, sourceFormerEntry
	e.fleet.signals.record(e)
}

// relist uses the upstream again if its entry may be that of an upstream which is alive.
func (e *Entry) relist(revision uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.relistPending {
		return false
	}
	e.listRevision = revision
	e.relistLocked()
	return true
}

func (e *Entry) relistLocked() {
	e.delisted, e.relistPending, e.useUntil = false, false, time.Time{}
	e.draining = e.signal.Draining // a drain that its process signalled stays in force
	e.fleet.deps.Log.Emit(event.UpstreamReturned, zap.String(event.FieldPeer, e.id))
}

// relist uses upstreams again whose entries were listed again by a restored store and
// have stayed.
func (f *Fleet) relist(ids []string) {
	f.mu.Lock()
	f.revision++
	for _, id := range ids {
		if e, ok := f.index.Load().byID[id]; ok && e.relist(f.revision) {
			f.identityLog.Record(e, f.revision)
			f.listedLog.Record(e, f.revision)
			f.identityRevision = f.revision
		}
	}
	f.mu.Unlock()
	f.notifyResidencyChanged()
	if f.deps.OnListChange != nil {
		f.deps.OnListChange()
	}
}
