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
// no attempt. It proves nothing of a single stream: another caller may have begun one with
// the same content at another version.
func ContentKey(team, service, method, host, target string, body []byte) Key {
	h := xxhash.New()
	writeParts(h, "content", team, service, method, host, target)
	_, _ = h.Write(body) // never fails
	return Key(h.Sum64())
}

// VersionKey returns the key of all streams of a service: what is known of it tells which
// versions its upstreams have, or had for as long as their streams may be taken up.
func VersionKey(service string) Key { return keyOf("service", service) }

// HistoryKey is asked for to learn whether a host knows what hosts knew that ended before it
// started.
func HistoryKey() Key { return keyOf("history") }

// VersionRecord says that upstreams of a service have a version.
func VersionRecord(service, software string) Record {
	return Record{Attempt: keyOf("version", service, software), Content: VersionKey(service), Software: software, TTL: MaxTTL}
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

// Finding is what is known of the version that began the streams with a key.
type Finding struct {
	Software string // "": not known
	Several  bool   // several versions began streams with the key; Software is ""
}

// Known reports whether one version began all streams with the key that are known.
func (f Finding) Known() bool { return f.Software != "" }

// Merge combines what is known here and elsewhere.
func (f Finding) Merge(o Finding) Finding {
	switch {
	case f.Several || o.Several, f.Known() && o.Known() && f.Software != o.Software:
		return Finding{Several: true}
	case f.Known():
		return f
	}
	return o
}

const (
	shards = 16
	// maxPerShard bounds the records. A full shard drops what ends first.
	maxPerShard = 1 << 16
	// evictionBatch is how many records are dropped at once, so that this is rare.
	evictionBatch = maxPerShard / 16
	// MaxTTL is the longest time for which a record is kept.
	MaxTTL = 2 * time.Minute
	// VersionInterval is how often records of versions that upstreams still have are renewed.
	VersionInterval = 10 * time.Second
	// MaxStreamTTL is the longest time for which a stream may be taken up: shorter than the record
	// of its version lasts, which may have been renewed VersionInterval before the version left.
	MaxStreamTTL = MaxTTL - 2*VersionInterval
	// sweepInterval is how often expired records are removed from a shard.
	sweepInterval = 5 * time.Second
	// maxVersions bounds the versions of software that are told apart.
	maxVersions = 1 << 12
)

// sighting is a version that began streams with a key.
type sighting struct {
	until   uint32 // until when they may be taken up, in seconds since the registry was made
	version uint16 // 0: none
}

// entry is what is kept of a key: the two versions whose streams last longest, the one that
// lasts longer first. More are not needed to tell that there are several.
type entry [2]sighting

// add adds a version to those of the key.
func (e *entry) add(s sighting) {
	switch {
	case s.version == e[0].version:
		e[0].until = max(e[0].until, s.until)
	case s.version == e[1].version:
		e[1].until = max(e[1].until, s.until)
	case s.until > e[1].until:
		e[1] = s
	}
	if e[1].until > e[0].until {
		e[0], e[1] = e[1], e[0]
	}
}

type shard struct {
	mu      sync.Mutex
	entries map[Key]entry
	sweptAt uint32
}

// Registry holds records until they expire.
type Registry struct {
	began  time.Time
	recent Outbox
	shards [shards]shard

	mu       sync.RWMutex
	names    []string // versions by number; 0 stands for none
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
	seen := sighting{at + uint32(min(rec.TTL, MaxTTL)/time.Second) + 1, version}
	for _, k := range []Key{rec.Attempt, rec.Content} {
		r.shardOf(k).add(k, seen, at)
	}
}

// Find returns which version began the streams with a key, as far as it is known here.
func (r *Registry) Find(k Key, now time.Time) Finding {
	s, at := r.shardOf(k), r.seconds(now)
	s.mu.Lock()
	e := s.entries[k]
	s.mu.Unlock()
	switch {
	case e[0].version == 0 || e[0].until < at:
		return Finding{}
	case e[1].version != 0 && e[1].until >= at:
		return Finding{Several: true}
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Finding{Software: r.names[e[0].version]}
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

func (r *Registry) seconds(now time.Time) uint32 {
	return uint32(max(now.Sub(r.began), 0) / time.Second)
}

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

func (s *shard) add(k Key, seen sighting, now uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeRoomLocked(now)
	e := s.entries[k]
	e.add(seen)
	s.entries[k] = e
}

// makeRoomLocked removes expired records from time to time and, if the shard is full, those
// that end first.
func (s *shard) makeRoomLocked(now uint32) {
	full := len(s.entries) >= maxPerShard
	if now-s.sweptAt < uint32(sweepInterval/time.Second) && !full {
		return
	}
	s.sweptAt = now
	for k, e := range s.entries {
		if e[0].until < now {
			delete(s.entries, k)
		}
	}
	for limit := now + 1; full && len(s.entries) >= maxPerShard-evictionBatch; limit += 2 {
		for k, e := range s.entries {
			if e[0].until <= limit {
				delete(s.entries, k)
			}
		}
	}
}
