package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Upstream is what is known of one process of an upstream.
type Upstream struct {
	Name        string
	Incarnation string
	// SeenMs is when any host first saw the process, in Unix milliseconds by
	// that host's clock. It orders the processes of one upstream, whose names
	// have no order: a restart takes longer than hosts' clocks differ.
	FirstSeenMs uint64
	Sequence    uint64 // of the upstream's report that the rest is from
	Draining    bool   // never undone
	Residents   []string
}

// maxProcesses bounds the processes remembered of one upstream. Late words of
// older ones than these are dropped.
const maxProcesses = 4

// Upstreams is a mergeable set of words on upstreams. It is not safe for
// concurrent use.
type Upstreams struct {
	byName map[string][]Upstream // newest process first
	digest uint64
}

// NewUpstreams makes an empty set.
func NewUpstreams() *Upstreams { return &Upstreams{byName: map[string][]Upstream{}} }

// Merge takes a word in; true when it was news about the newest process.
func (s *Upstreams) Merge(w Upstream) bool {
	list := s.byName[w.Name]
	i := slices.IndexFunc(list, func(x Upstream) bool { return x.Incarnation == w.Incarnation })
	if i < 0 {
		return s.add(list, w)
	}
	old := list[i]
	next := old.merge(w)
	if next.same(old) && next.Sequence == old.Sequence && next.FirstSeenMs == old.FirstSeenMs {
		return false
	}
	s.digest ^= old.hash() ^ next.hash()
	list[i] = next
	sortProcesses(list)
	return list[0].Incarnation == w.Incarnation && !next.same(old)
}

func (s *Upstreams) add(list []Upstream, w Upstream) bool {
	list = append(list, w)
	sortProcesses(list)
	s.digest ^= w.hash()
	if len(list) > maxProcesses {
		s.digest ^= list[maxProcesses].hash()
		list = list[:maxProcesses]
	}
	s.byName[w.Name] = list
	return list[0].Incarnation == w.Incarnation
}

func sortProcesses(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(b.FirstSeenMs, a.FirstSeenMs), cmp.Compare(b.Incarnation, a.Incarnation))
	})
}

// merge joins two words on the same process.
func (w Upstream) merge(o Upstream) Upstream {
	next := w
	if o.Sequence > w.Sequence {
		next = o
	}
	next.FirstSeenMs = min(w.FirstSeenMs, o.FirstSeenMs)
	next.Draining = w.Draining || o.Draining
	return next
}

// same says whether two words on one process mean the same to routing.
func (w Upstream) same(o Upstream) bool {
	return w.Draining == o.Draining && slices.Equal(w.Residents, o.Residents)
}

// Current returns the word on the newest process of an upstream.
func (s *Upstreams) Current(name string) (Upstream, bool) {
	if list := s.byName[name]; len(list) > 0 {
		return list[0], true
	}
	return Upstream{}, false
}

// All returns every word, those on older processes too.
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

// Retain forgets all upstreams that are not in the configuration any more.
func (s *Upstreams) Retain(known func(name string) bool) {
	for name, list := range s.byName {
		if known(name) {
			continue
		}
		for _, w := range list {
			s.digest ^= w.hash()
		}
		delete(s.byName, name)
	}
}

// Digest is equal for two sets that mean the same; sequence and time of a word
// that changed nothing else do not count.
func (s *Upstreams) Digest() uint64 { return s.digest }

func (w Upstream) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(w.Name + "\x00" + w.Incarnation) // a Digest's writes never fail
	for _, r := range w.Residents {
		_, _ = d.WriteString("\x00" + r)
	}
	leaving := uint64(0)
	if w.Draining {
		leaving = 1
	}
	return mix(d.Sum64(), leaving)
}
