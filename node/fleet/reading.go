package fleet

import "time"

// inFlightMargin is for how long after a request was written bytes that arrive may have been
// sent before the upstream could read it: several round trips.
const inFlightMargin = 20 * time.Millisecond

// reader waits for a sign that the upstream has read what was written to it.
type reader struct {
	from time.Time // a byte that arrives from then on is one
	read func(at time.Time)
}

// OnRead has read called, once, when the upstream is next heard of: what was written to it by
// now it has read by then, since its process runs. Until then it may stand still.
func (e *Entry) OnRead(read func(at time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readers = append(e.readers, reader{e.fleet.deps.Now().Add(inFlightMargin), read})
}

// heardLocked takes the readers that bytes at a time tell; e.mu is held.
func (e *Entry) heardLocked(now time.Time) (told []reader) {
	if len(e.readers) == 0 {
		return nil
	}
	var kept []reader
	for _, r := range e.readers {
		if now.Before(r.from) {
			kept = append(kept, r)
			continue
		}
		told = append(told, r)
	}
	e.readers = kept
	return told
}

func tell(readers []reader, at time.Time) {
	for _, r := range readers {
		r.read(at)
	}
}
