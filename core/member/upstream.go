package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Upstream is a record about one process of an upstream.
type Upstream struct {
	Name        string
	Incarnation string
	// FirstSeenMs is when any host first saw the process, in Unix milliseconds by
	// that host's clock. It orders the processes of one upstream, whose
	// incarnations have no order: a restart takes longer than hosts' clocks differ.
	FirstSeenMs uint64
	Sequence    uint64 // of the upstream's report that Residents is from
	Draining    bool   // never reverted
	Residents   []string
}

// maxIncarnations bounds the processes that are remembered per upstream. Late
// records of older ones are dropped.
const maxIncarnations = 4

// Upstreams is a mergeable set of records about upstreams. It is not safe for
// concurrent use.
type Upstreams struct {
	byName map[string][]Upstream // newest process first
	digest uint64
}

// NewUpstreams returns an empty set.
func NewUpstreams() *Upstreams { return &Upstreams{byName: map[string][]Upstream{}} }

// Merge adds a record and reports whether it changed what routing knows of the
// upstream's newest process.
func (s *Upstreams) Merge(u Upstream) bool {
	list := s.byName[u.Name]
	i := slices.IndexFunc(list, func(x Upstream) bool { return x.Incarnation == u.Incarnation })
	if i < 0 {
		return s.add(list, u)
	}
	old := list[i]
	next := old.merge(u)
	if next.sameState(old) && next.Sequence == old.Sequence && next.FirstSeenMs == old.FirstSeenMs {
		return false
	}
	s.digest ^= old.hash() ^ next.hash()
	list[i] = next
	sortNewestFirst(list)
	return list[0].Incarnation == u.Incarnation && !next.sameState(old)
}

func (s *Upstreams) add(list []Upstream, u Upstream) bool {
	list = append(list, u)
	sortNewestFirst(list)
	s.digest ^= u.hash()
	if len(list) > maxIncarnations {
		s.digest ^= list[maxIncarnations].hash()
		list = list[:maxIncarnations]
	}
	s.byName[u.Name] = list
	return list[0].Incarnation == u.Incarnation
}

func sortNewestFirst(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(b.FirstSeenMs, a.FirstSeenMs), cmp.Compare(b.Incarnation, a.Incarnation))
	})
}

// merge combines two records of the same process.
func (u Upstream) merge(other Upstream) Upstream {
	next := u
	if other.Sequence > u.Sequence {
		next = other
	}
	next.FirstSeenMs = min(u.FirstSeenMs, other.FirstSeenMs)
	next.Draining = u.Draining || other.Draining
	return next
}

// sameState reports whether two records of one process mean the same to routing.
func (u Upstream) sameState(other Upstream) bool {
	return u.Draining == other.Draining && slices.Equal(u.Residents, other.Residents)
}

// Current returns the record of an upstream's newest process.
func (s *Upstreams) Current(name string) (Upstream, bool) {
	if list := s.byName[name]; len(list) > 0 {
		return list[0], true
	}
	return Upstream{}, false
}

// All returns all records, older processes included, sorted by name and
// incarnation.
func (s *Upstreams) All() []Upstream {
	var out []Upstream
	for _, list := range s.byName {
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Retain deletes all upstreams for which known returns false: they are no longer
// in the configuration.
func (s *Upstreams) Retain(known func(name string) bool) {
	for name, list := range s.byName {
		if known(name) {
			continue
		}
		for _, u := range list {
			s.digest ^= u.hash()
		}
		delete(s.byName, name)
	}
}

// Digest returns a hash that is equal for sets that mean the same to routing; it
// leaves out Sequence and FirstSeenMs.
func (s *Upstreams) Digest() uint64 { return s.digest }

func (u Upstream) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(u.Name + "\x00" + u.Incarnation) // writes to a Digest never fail
	for _, r := range u.Residents {
		_, _ = d.WriteString("\x00" + r)
	}
	draining := uint64(0)
	if u.Draining {
		draining = 1
	}
	return mix(d.Sum64(), draining)
}
