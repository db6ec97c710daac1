package relay

import (
	"sort"
	"sync"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// published keeps the changes of the list that are sent to many hosts, encoded once for
// all of them. When thousands of upstreams appear at the same time, sending each one as
// text to each of a thousand hosts would exceed any link.
type published struct {
	mu           sync.Mutex
	segments     []segment // the oldest first
	completeFrom uint64    // state from which on the segments are complete
	state        uint64    // state up to which all changes are published
	storeVersion uint64    // the store's version of that state
	publishedAt  time.Time // when that state was published
	fullList     packedList
}

// segment contains the changes since the segment before, up to a state of the list.
type segment struct {
	state    uint64
	data     []byte
	packedAt time.Time
}

const (
	// publishInterval is the minimum time between two segments, so that simultaneous
	// changes are packed together. It is a fraction of the time in which hosts must
	// know a change.
	publishInterval = 100 * time.Millisecond
	// segmentLifetime is how long segments are kept: several report periods of any
	// host.
	segmentLifetime = 10 * time.Second
)

// listChange is the content of a segment.
type listChange struct {
	Put  []deploy.Upstream `json:"put,omitempty"`
	Gone []string          `json:"gone,omitempty"`
}

// publish adds a segment with the changes since its last call. storeVersion is the
// store's version of the list; the list may be newer.
func (p *published) publish(f *fleet.Fleet, storeVersion uint64, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.publishedAt) < publishInterval {
		return nil
	}
	change := f.ChangesSince(p.state, true)
	if change.Complete {
		p.segments, p.completeFrom = nil, change.Revision
	} else if len(change.Put)+len(change.Removed) > 0 {
		packed, err := packList(listChange{listedUpstreams(change.Put, true), change.Removed})
		if err != nil {
			return err
		}
		p.segments = append(p.segments, segment{change.Revision, packed, now})
	}
	p.state, p.storeVersion, p.publishedAt = change.Revision, storeVersion, now
	p.expireLocked(now)
	return nil
}

func (p *published) expireLocked(now time.Time) {
	old := sort.Search(len(p.segments), func(i int) bool { return now.Sub(p.segments[i].packedAt) < segmentLifetime })
	if old > 0 {
		p.completeFrom, p.segments = p.segments[old-1].state, append([]segment(nil), p.segments[old:]...)
	}
}

// since returns the segments that bring a host from a state to the newest one. ok is
// false if the host needs the complete list.
func (p *published) since(from uint64) (packed [][]byte, to, at uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == 0 || p.storeVersion == 0 || from < p.completeFrom {
		return nil, 0, 0, false
	}
	first := sort.Search(len(p.segments), func(i int) bool { return p.segments[i].state > from })
	for _, s := range p.segments[first:] {
		packed = append(packed, s.data)
	}
	return packed, p.state, p.storeVersion, true
}

// packedFullList returns the list as of the published state, or an earlier one that is
// at most packedListMaxAge old.
func (p *published) packedFullList(f *fleet.Fleet, now time.Time) (packedList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fullList.state > 0 && p.fullList.sameEra(p.storeVersion) && p.fullList.state >= p.completeFrom && now.Sub(p.fullList.packedAt) < packedListMaxAge {
		return p.fullList, nil
	}
	next, err := packFullList(f, true, now)
	if err != nil {
		return packedList{}, err
	}
	next.state, next.storeVersion = p.state, p.storeVersion // newer changes come with the next segments
	p.fullList = next
	return next, nil
}
