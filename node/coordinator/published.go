package coordinator

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/fleet"
)

// published keeps the changes of the list that many hosts are told, encoded once for
// all of them. When thousands of upstreams come at once, each as text to each of a
// thousand hosts would be more than any link carries.
type published struct {
	mu           sync.Mutex
	segments     []segment // the oldest first
	completeFrom uint64    // state from which on they are complete
	state        uint64    // state up to which all is published
	storeVersion uint64    // the store's version that it is of
	publishedAt  time.Time // when that was
	fullList     packedList
}

// segment is what changed since the one before, up to a state of the list.
type segment struct {
	state    uint64
	data     []byte
	packedAt time.Time
}

const (
	// publishInterval is the least time between two segments: what comes together is
	// packed together. A fraction of the time in which a change is to be known.
	publishInterval = 100 * time.Millisecond
	// segmentLifetime is how long segments are kept: several reports of any host.
	segmentLifetime = 10 * time.Second
)

// listChange is a segment's content.
type listChange struct {
	Put  []deploy.Upstream `json:"put,omitempty"`
	Gone []string          `json:"gone,omitempty"`
}

// publish adds what has changed since it was called last. at is the store's version
// that the list is of, at least.
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

// since returns the segments that bring a host from a state to the newest one; false:
// it needs the whole list.
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

// packedFullList returns the list as of what is published, at most wholeFor older.
func (p *published) packedFullList(f *fleet.Fleet, now time.Time) (packedList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fullList.state > 0 && p.fullList.state >= p.completeFrom && now.Sub(p.fullList.packedAt) < packedListMaxAge {
		return p.fullList, nil
	}
	next, err := packFullList(f, true, now)
	if err != nil {
		return packedList{}, err
	}
	next.state, next.storeVersion = p.state, p.storeVersion // what is newer comes with the next segments
	p.fullList = next
	return next, nil
}

// mergeChanges reads segments that follow a list, or what is known of it: of an
// upstream that changed several times, the last.
func mergeChanges(list []deploy.Upstream, segments [][]byte) (put []deploy.Upstream, gone []string, err error) {
	newest := map[string]*deploy.Upstream{} // nil: gone
	for i := range list {
		newest[list[i].ID] = &list[i]
	}
	for _, packed := range segments {
		data, err := revision.Decompress(packed)
		if err != nil {
			return nil, nil, eris.Wrap(err, "unpack changes of the list")
		}
		var c listChange
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, nil, eris.Wrap(err, "decode changes of the list")
		}
		for i := range c.Put {
			newest[c.Put[i].ID] = &c.Put[i]
		}
		for _, id := range c.Gone {
			newest[id] = nil
		}
	}
	for id, u := range newest {
		if u == nil {
			gone = append(gone, id)
		} else {
			put = append(put, *u)
		}
	}
	return put, gone, nil
}
