package fleet

import "maps"

// index finds entries. It does not change once it is published.
type index struct {
	byID      map[string]*Entry
	byService map[string][]*Entry
	version   uint64 // rises when entries are added or removed
	spans     bool   // whether the upstreams are in more than one data centre
}

// nextIndex is an index that is being built. It shares the current index until an entry is
// added or removed, which nearly no heartbeat does: a copy takes time in proportion to
// the number of upstreams.
type nextIndex struct {
	*index
	changed bool
	added   []*Entry // entries that were added
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

// done returns the index to publish.
func (d *nextIndex) done() *index {
	if !d.changed {
		return d.index
	}
	d.byService = map[string][]*Entry{}
	for _, e := range d.byID {
		others := d.byService[e.Service()]
		d.spans = d.spans || len(others) > 0 && others[0].dataCentre != e.dataCentre
		d.byService[e.Service()] = append(others, e)
	}
	return d.index
}

// SpansDataCentres reports whether the upstreams of some service are in more than one data
// centre.
func (f *Fleet) SpansDataCentres() bool { return f.index.Load().spans }

// MembershipVersion returns a number that rises when upstreams are added or forgotten.
func (f *Fleet) MembershipVersion() uint64 { return f.index.Load().version }
