// Package member holds what entry hosts tell one another about hosts and
// upstreams, as sets that merge in any order: a late or repeated word never
// takes state back. It does no I/O and has no clock.
package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an entry host. Of two words under the same sequence
// the higher state wins.
type State uint8

// The states.
const (
	Alive      State = iota
	Suspect          // some host could not reach it; it refutes that with a higher sequence
	Draining         // it said so itself: it takes no new requests
	Terminated       // it said so itself: it has ended
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Host is what is known of one entry host. Incarnation orders the processes
// that ran under its name; Sequence is raised by the process itself only.
type Host struct {
	Name        string
	Address     string // IP:port of its peer listener
	DataCentre  string
	Process     string // incarnation as operators see it
	Incarnation uint64
	Sequence    uint64
	State       State
}

// supersedes says whether h is later word than o: of a later process, else a later
// word of the process itself, else a graver state.
func (h Host) supersedes(other Host) bool {
	return cmp.Or(cmp.Compare(h.Incarnation, other.Incarnation), cmp.Compare(h.Sequence, other.Sequence),
		cmp.Compare(h.State, other.State), cmp.Compare(h.Process, other.Process)) > 0
}

// Hosts is a mergeable set of hosts. It is not safe for concurrent use.
type Hosts struct {
	byName map[string]Host
	digest uint64
}

// NewHosts makes an empty set.
func NewHosts() *Hosts { return &Hosts{byName: map[string]Host{}} }

// Merge takes a word in; true when it was news.
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

// Get finds a host.
func (s *Hosts) Get(name string) (Host, bool) { h, ok := s.byName[name]; return h, ok }

// Remove forgets a host that the platform does not list any more.
func (s *Hosts) Remove(name string) {
	if h, ok := s.byName[name]; ok {
		s.digest ^= h.hash()
		delete(s.byName, name)
	}
}

// All returns the hosts by name.
func (s *Hosts) All() []Host {
	out := make([]Host, 0, len(s.byName))
	for _, h := range s.byName {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Digest is equal for two sets that hold the same words, and almost surely
// differs for others. It is kept up to date word by word.
func (s *Hosts) Digest() uint64 { return s.digest }

func (h Host) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(h.Name + "\x00" + h.Process) // a Digest's writes never fail
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
