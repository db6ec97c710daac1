package conn

import (
	"hash/maphash"
	"time"
)

const (
	// sentTime is for how long sends are remembered at least, unless there are many. It is also
	// for how long connections are reused, so that all that one has carried is remembered.
	sentTime = time.Minute
	// maxSent is the number of sends from which on the former ones are forgotten earlier, to
	// bound the memory that a flood of requests takes.
	maxSent = 1 << 14
)

// idSeed makes it impossible for a caller to choose ids with equal hashes.
var idSeed = maphash.MakeSeed()

// sentRequests are the latest requests that were sent to one address, over any connection. A
// connection that was opened before all that are remembered is not reused: it may have carried
// a request that has been forgotten, whose late answer would pass for that to its next send.
type sentRequests struct {
	recent, former           map[uint64]struct{} // hashes of IDs
	recentSince, formerSince time.Time           // when the sends of each began
}

// add records a send and reports whether the same request was sent before. One without an ID
// cannot be told from others and is not recorded.
func (s *sentRequests) add(id string, now time.Time) (again bool) {
	if id == "" {
		return false
	}
	if s.recent == nil {
		s.recent = map[uint64]struct{}{}
	}
	if len(s.recent) >= maxSent || now.Sub(s.recentSince) >= sentTime {
		s.former, s.formerSince = s.recent, s.recentSince
		s.recent, s.recentSince = map[uint64]struct{}{}, now
	}
	h := maphash.String(idSeed, id)
	_, inRecent := s.recent[h]
	_, inFormer := s.former[h]
	s.recent[h] = struct{}{}
	return inRecent || inFormer
}

// remembersSince reports whether all sends after a time are remembered.
func (s *sentRequests) remembersSince(t time.Time) bool { return t.After(s.formerSince) }
