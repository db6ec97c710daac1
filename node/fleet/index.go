package fleet

import "maps"

// index finds entries. It is not changed once it can be read.
type index struct {
	byID      map[string]*Entry
	byService map[string][]*Entry
	version   uint64 // rises when entries come or go
}

// nextIndex is the next index. It stays the present one until entries come or go, as
// for nearly every heartbeat: a copy takes as long as there are upstreams.
type nextIndex struct {
	*index
	changed bool
	added   []*Entry // that were added
}

func (d *nextIndex) copyIfShared() {
	if d.changed {
		return
	}
	d.index, d.changed = &index{byID: maps.Clone(d.byID), version: d.version + 1}, true
}

func (d *nextIndex) add(e *Entry) {
	d.copyIfShared()
	d.byID[e.ID()] = e
}

func (d *nextIndex) remove(id string) {
	d.copyIfShared()
	delete(d.byID, id)
}

// done returns the index to put in place.
func (d *nextIndex) done() *index {
	if !d.changed {
		return d.index
	}
	d.byService = map[string][]*Entry{}
	for _, e := range d.byID {
		d.byService[e.Service()] = append(d.byService[e.Service()], e)
	}
	return d.index
}

// MembershipVersion is a number that rises when upstreams come or are forgotten.
func (f *Fleet) MembershipVersion() uint64 { return f.index.Load().version }
