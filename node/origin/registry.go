// Package origin keeps which version of an upstream's software began a stream, so that
// callers can take the stream up at any host: each host keeps the streams that it began,
// and some hosts keep those of all. It does no I/O; the link between hosts sends records
// and asks for them.
package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream among those of all teams and services, for as long as it may be
// taken up.
type Key uint64

// KeyOf returns the key of the stream that an attempt of a caller began. Team and service
// are a part of it, so that nobody is told of another team's streams.
func KeyOf(team, service, attempt string) Key { return keyOf("attempt", team, service, attempt) }

// ContentKey returns the key of all streams with the same content, for callers that name
// no attempt.
func ContentKey(team, service, method, host, target string, body []byte) Key {
	h := xxhash.New()
	writeParts(h, "content", team, service, method, host, target)
	_, _ = h.Write(body) // never fails
	return Key(h.Sum64())
}

func keyOf(parts ...string) Key {
	h := xxhash.New()
	writeParts(h, parts...)
	return Key(h.Sum64())
}

func writeParts(h *xxhash.Digest, parts ...string) {
	for _, p := range parts {
		_, _ = h.WriteString(p) // never fails
		_, _ = h.Write(partEnd)
	}
}

var partEnd = []byte{0}

// Record says which version of the software began a stream.
type Record struct {
	Attempt, Content Key
	Software         string
	TTL              time.Duration // for how much longer the stream may be taken up
}

const (
	shards = 16
	// maxPerShard bounds the records. A full shard drops what ends first.
	maxPerShard = 1 << 16
	// evictionBatch is how many records are dropped at once, so that this is rare.
	evictionBatch = maxPerShard / 16
	// MaxTTL is the longest time for which a stream is kept.
	MaxTTL = 2 * time.Minute
	// sweepInterval is how often expired records are removed from a shard.
	sweepInterval = 5 * time.Second
	// maxVersions bounds the versions of software that are told apart.
	maxVersions = 1 << 12
)

// entry is a record as it is kept.
type entry struct {
	until   int64 // seconds since the registry was made
	version uint16
}

// ambiguous stands for streams of the same content that several versions began.
const ambiguous = 0

type shard struct {
	mu      sync.Mutex
	entries map[Key]entry
	sweptAt int64
}

// Registry holds records until they expire.
type Registry struct {
	began  time.Time
	recent Outbox
	shards [shards]shard

	mu       sync.RWMutex
	names    []string // versions by number; 0 stands for ambiguous
	versions map[string]uint16
}

// NewRegistry returns an empty Registry.
func NewRegistry(now time.Time) *Registry {
	r := &Registry{began: now, names: []string{""}, versions: map[string]uint16{}}
	for i := range r.shards {
		r.shards[i].entries = map[Key]entry{}
	}
	return r
}

// Put keeps a record and adds it to the recent ones.
func (r *Registry) Put(rec Record, now time.Time) {
	r.Adopt(rec, now)
	r.recent.Add(rec, now)
}

// Recent returns the records that were put.
func (r *Registry) Recent() *Outbox { return &r.recent }

// Adopt keeps a record that is kept elsewhere, too.
func (r *Registry) Adopt(rec Record, now time.Time) {
	version, ok := r.number(rec.Software)
	if !ok {
		return
	}
	at := r.seconds(now)
	until := at + int64(min(rec.TTL, MaxTTL)/time.Second) + 1
	r.shardOf(rec.Attempt).put(rec.Attempt, entry{until, version}, at)
	r.shardOf(rec.Content).merge(rec.Content, entry{until, version}, at)
}

// Find returns the version that began the stream with a key; ok is false if it is not known.
func (r *Registry) Find(k Key, now time.Time) (software string, ok bool) {
	s := r.shardOf(k)
	s.mu.Lock()
	e, ok := s.entries[k]
	s.mu.Unlock()
	if !ok || e.version == ambiguous || e.until < r.seconds(now) {
		return "", false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names[e.version], true
}

// Len returns the number of streams that are kept.
func (r *Registry) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n / 2 // by attempt and by content
}

func (r *Registry) seconds(now time.Time) int64 { return int64(now.Sub(r.began) / time.Second) }

func (r *Registry) shardOf(k Key) *shard { return &r.shards[k%shards] }

// number returns the number of a version. ok is false for a version that is not stated, and
// once there are too many.
func (r *Registry) number(software string) (n uint16, ok bool) {
	r.mu.RLock()
	n, ok = r.versions[software]
	r.mu.RUnlock()
	if ok || software == "" {
		return n, ok
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok = r.versions[software]; ok || len(r.names) >= maxVersions {
		return n, ok
	}
	n = uint16(len(r.names))
	r.names, r.versions[software] = append(r.names, software), n
	return n, true
}

func (s *shard) put(k Key, e entry, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeRoomLocked(now)
	s.entries[k] = e
}

// merge is put for a key that several streams share.
func (s *shard) merge(k Key, e entry, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeRoomLocked(now)
	if before, ok := s.entries[k]; ok && before.until >= now {
		if before.version != e.version {
			e.version = ambiguous
		}
		e.until = max(e.until, before.until)
	}
	s.entries[k] = e
}

// makeRoomLocked removes expired records from time to time and, if the shard is full, those
// that end first.
func (s *shard) makeRoomLocked(now int64) {
	full := len(s.entries) >= maxPerShard
	if now-s.sweptAt < int64(sweepInterval/time.Second) && !full {
		return
	}
	s.sweptAt = now
	for k, e := range s.entries {
		if e.until < now {
			delete(s.entries, k)
		}
	}
	for limit := now + 1; full && len(s.entries) >= maxPerShard-evictionBatch; limit += 2 {
		for k, e := range s.entries {
			if e.until <= limit {
				delete(s.entries, k)
			}
		}
	}
}
