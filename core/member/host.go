// Package member holds the state about hosts and upstreams that entry hosts
// gossip, as sets that merge in any order: a late or repeated record never
// reverts a newer one. It does no I/O and has no clock.
package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an entry host. Of two records with the same incarnation
// and sequence the one with the higher state wins.
type State uint8

// The states.
const (
	Alive      State = iota
	Suspect          // some host could not reach it; it refutes that with a higher sequence
	Draining         // announced by the host itself: it accepts no new requests
	Terminated       // announced by the host itself: its process has ended
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Host is a record about one entry host. Incarnation orders the processes that
// ran under the host's name; only the process itself increases Sequence.
type Host struct {
	Name        string
	Address     string // IP:port of its peer listener
	DataCentre  string
	Process     string // incarnation as operators see it
	Incarnation uint64
	Sequence    uint64
	State       State
}

// supersedes reports whether h replaces other: it is from a later process, else has a
// higher sequence, else a higher state. The process name only breaks ties.
func (h Host) supersedes(other Host) bool {
	return cmp.Or(cmp.Compare(h.Incarnation, other.Incarnation), cmp.Compare(h.Sequence, other.Sequence),
		cmp.Compare(h.State, other.State), cmp.Compare(h.Process, other.Process)) > 0
}

// Hosts is a mergeable set of host records. It is not safe for concurrent use.
type Hosts struct {
	byName map[string]Host
	digest uint64
}

// NewHosts returns an empty set.
func NewHosts() *Hosts { return &Hosts{byName: map[string]Host{}} }

// Merge adds a record and reports whether it replaced what the set had.
func (s *Hosts) Merge(h Host) bool {
	old, ok := s.byName[h.Name]
	if ok && !h.supersedes(old) {
		return false
	}
	if ok {
		s.digest ^= old.hash()
	}
	s.digest ^= h.hash()
	s.byName[h.Name] = h
	return true
}

// Get returns the record of a host.
func (s *Hosts) Get(name string) (Host, bool) { h, ok := s.byName[name]; return h, ok }

// Remove deletes a host that the platform no longer lists.
func (s *Hosts) Remove(name string) {
	if h, ok := s.byName[name]; ok {
		s.digest ^= h.hash()
		delete(s.byName, name)
	}
}

// All returns all records, sorted by name.
func (s *Hosts) All() []Host {
	out := make([]Host, 0, len(s.byName))
	for _, h := range s.byName {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Digest returns a hash that is equal for sets with the same records and almost
// surely differs for others. It is updated with each change.
func (s *Hosts) Digest() uint64 { return s.digest }

func (h Host) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(h.Name + "\x00" + h.Process) // writes to a Digest never fail
	return mix(d.Sum64(), h.Incarnation, h.Sequence, uint64(h.State))
}

// mix folds numbers into a hash; the multiplier is the 64-bit golden ratio.
func mix(hash uint64, values ...uint64) uint64 {
	for _, v := range values {
		hash = (hash ^ v) * 0x9E3779B97F4A7C15
		hash ^= hash >> 29
	}
	return hash
}
