package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against telling one team, or route, of another's streams.
func TestAStreamIsKnownToItsTeamAndServiceOnly(t *testing.T) {
	r := NewRegistry(start)
	r.Put(Record{Attempt: KeyOf("red", "s", "a"), Content: ContentKey("red", "s", "POST", "h", "/", nil), Software: "v1", TTL: time.Minute}, start)
	software, ok := r.Find(KeyOf("red", "s", "a"), start)
	assert.Assert(t, ok && software == "v1")
	for _, other := range []Key{KeyOf("blue", "s", "a"), KeyOf("red", "t", "a"), KeyOf("red", "s", "b"), KeyOf("re", "ds", "a"), ContentKey("blue", "s", "POST", "h", "/", nil)} {
		_, ok := r.Find(other, start)
		assert.Assert(t, !ok)
	}
}

// Guards against a guess where callers that name no attempt sent the same content twice.
func TestOneContentAtTwoVersionsIsNotKnown(t *testing.T) {
	r, content := NewRegistry(start), ContentKey("", "s", "POST", "h", "/", []byte("x"))
	put := func(attempt, software string) {
		r.Put(Record{Attempt: KeyOf("", "s", attempt), Content: content, Software: software, TTL: time.Minute}, start)
	}
	put("a", "v1")
	put("b", "v1")
	_, ok := r.Find(content, start)
	assert.Assert(t, ok)
	put("c", "v2")
	put("d", "v2")
	_, ok = r.Find(content, start)
	assert.Assert(t, !ok)
	software, ok := r.Find(KeyOf("", "s", "a"), start)
	assert.Assert(t, ok && software == "v1")
}

// Guards against records that grow without bound, and against dropping those that last longest.
func TestAFullRegistryDropsWhatEndsFirst(t *testing.T) {
	r := NewRegistry(start)
	for i := range 2 * shards * maxPerShard {
		ttl := time.Second
		if i%17 == 0 {
			ttl = time.Minute
		}
		r.Put(Record{Attempt: Key(i), Content: Key(i), Software: "v1", TTL: ttl}, start)
	}
	assert.Assert(t, 2*r.Len() <= shards*maxPerShard)
	_, ok := r.Find(Key(0), start)
	assert.Assert(t, ok, "it lasts a minute")
}

// Property: whatever is put, whatever is lost and however late it comes, a stream is never
// said to be of another version than the one that began it.
func TestAStreamIsNeverOfAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Registry{NewRegistry(start), NewRegistry(start), NewRegistry(start)}
		began, now := map[string]string{}, start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				hosts[rapid.IntRange(0, 2).Draw(t, "restarted")] = NewRegistry(now)
			default:
				attempt := fmt.Sprint("a", i)
				began[attempt] = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				rec := Record{Attempt: KeyOf("", "s", attempt), Content: ContentKey("", "s", "POST", "h", attempt, nil), Software: began[attempt], TTL: 20 * time.Second}
				for _, h := range hosts {
					if rapid.Bool().Draw(t, "arrives") {
						h.Put(rec, now)
					}
				}
			}
			for attempt, version := range began {
				for _, h := range hosts {
					if software, ok := h.Find(KeyOf("", "s", attempt), now); ok {
						assert.Equal(t, software, version)
					}
				}
			}
		}
	})
}

// Guards against a host that becomes a keeper and never gets the streams that are still
// running, and against records that are sent after their streams have ended.
func TestAnOutboxKeepsWhatHasNotExpired(t *testing.T) {
	var o Outbox
	for i := range 10 {
		o.Add(Record{Attempt: Key(i), TTL: time.Duration(10+i) * time.Second}, start)
	}
	first, next := o.Next(0, 4, start)
	assert.Equal(t, len(first), 4)
	rest, next := o.Next(next, 100, start)
	assert.Equal(t, len(rest), 6)
	none, _ := o.Next(next, 100, start)
	assert.Equal(t, len(none), 0)
	late, _ := o.Next(0, 100, start.Add(15*time.Second))
	assert.Equal(t, len(late), 4)
	assert.Equal(t, late[0].TTL, time.Second)
}

// BenchmarkPut measures what a stream that begins costs its host, and each host that keeps
// its record.
func BenchmarkPut(b *testing.B) {
	r, body := NewRegistry(start), make([]byte, 4700)
	i := 0
	for b.Loop() {
		i++
		attempt := fmt.Sprint(i)
		r.Put(Record{Attempt: KeyOf("team", "service", attempt), Content: ContentKey("team", "service", "POST", "host", attempt, body), Software: "v1", TTL: 20 * time.Second}, start.Add(time.Duration(i)*time.Millisecond))
	}
}
