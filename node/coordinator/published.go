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
	mu       sync.Mutex
	segments []segment // the oldest first
	begin    uint64    // state from which on they are complete
	to       uint64    // state up to which all is published
	at       uint64    // the store's version that it is of
	closed   time.Time // when that was
	whole    wholeList
}

// segment is what changed since the one before, up to a state of the list.
type segment struct {
	to     uint64
	packed []byte
	made   time.Time
}

const (
	// publishEach is the least time between two segments: what comes together is
	// packed together. A fraction of the time in which a change is to be known.
	publishEach = 100 * time.Millisecond
	// publishedFor is how long segments are kept: several reports of any host.
	publishedFor = 10 * time.Second
)

// listChange is a segment's content.
type listChange struct {
	Put  []deploy.Upstream `json:"put,omitempty"`
	Gone []string          `json:"gone,omitempty"`
}

// publish adds what has changed since it was called last. at is the store's version
// that the list is of, at least.
func (p *published) publish(f *fleet.Fleet, at uint64, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.closed) < publishEach {
		return nil
	}
	change := f.ChangesSince(p.to, true)
	if change.Complete {
		p.segments, p.begin = nil, change.Revision
	} else if len(change.Put)+len(change.Removed) > 0 {
		packed, err := packList(listChange{plainOf(change.Put, true), change.Removed})
		if err != nil {
			return err
		}
		p.segments = append(p.segments, segment{change.Revision, packed, now})
	}
	p.to, p.at, p.closed = change.Revision, at, now
	p.dropLocked(now)
	return nil
}

func (p *published) dropLocked(now time.Time) {
	old := sort.Search(len(p.segments), func(i int) bool { return now.Sub(p.segments[i].made) < publishedFor })
	if old > 0 {
		p.begin, p.segments = p.segments[old-1].to, append([]segment(nil), p.segments[old:]...)
	}
}

// since returns the segments that bring a host from a state to the newest one; false:
// it needs the whole list.
func (p *published) since(from uint64) (packed [][]byte, to, at uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == 0 || p.at == 0 || from < p.begin {
		return nil, 0, 0, false
	}
	first := sort.Search(len(p.segments), func(i int) bool { return p.segments[i].to > from })
	for _, s := range p.segments[first:] {
		packed = append(packed, s.packed)
	}
	return packed, p.to, p.at, true
}

// wholeList returns the list as of what is published, at most wholeFor older.
func (p *published) wholeList(f *fleet.Fleet, now time.Time) (wholeList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.whole.to > 0 && p.whole.to >= p.begin && now.Sub(p.whole.made) < wholeFor {
		return p.whole, nil
	}
	next, err := packWhole(f, true, now)
	if err != nil {
		return wholeList{}, err
	}
	next.to, next.at = p.to, p.at // what is newer comes with the next segments
	p.whole = next
	return next, nil
}

// readChanges reads segments that follow a list, or what is known of it: of an
// upstream that changed several times, the last.
func readChanges(list []deploy.Upstream, segments [][]byte) (put []deploy.Upstream, gone []string, err error) {
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
