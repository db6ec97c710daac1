package store

import "sync"

// Eras keeps the newest era of the store that this process has seen. The store may be
// restored from a copy of itself that is some seconds old; it then lacks what it had
// confirmed since, and a new era begins. The zero value is ready for use.
type Eras struct {
	mu       sync.Mutex
	known    bool
	newest   uint64
	onChange func(was, now uint64)
}

// OnChange sets fn to be called at each change of the era, but not for the first era that
// is seen. It must be set before the first Observe.
func (e *Eras) OnChange(fn func(was, now uint64)) { e.onChange = fn }

// Observe records an era and returns the newest one.
func (e *Eras) Observe(era uint64) (newest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was, known := e.newest, e.known
	e.known, e.newest = true, max(was, era)
	if known && e.newest > was && e.onChange != nil {
		e.onChange(was, e.newest)
	}
	return e.newest
}

// Newest returns the newest era that was seen; 0 if none was.
func (e *Eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}
