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
	assert.Equal(t, r.Find(KeyOf("red", "s", "a"), start), Finding{Software: "v1"})
	for _, other := range []Key{KeyOf("blue", "s", "a"), KeyOf("red", "t", "a"), KeyOf("red", "s", "b"), KeyOf("re", "ds", "a"), ContentKey("blue", "s", "POST", "h", "/", nil)} {
		assert.Equal(t, r.Find(other, start), Finding{})
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
	assert.Equal(t, r.Find(content, start), Finding{Software: "v1"})
	put("c", "v2")
	put("d", "v2")
	assert.Equal(t, r.Find(content, start), Finding{Several: true})
	assert.Equal(t, r.Find(KeyOf("", "s", "a"), start), Finding{Software: "v1"})
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
	assert.Assert(t, r.Find(Key(0), start).Known(), "it lasts a minute")
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
					if f := h.Find(KeyOf("", "s", attempt), now); f != (Finding{}) {
						assert.Equal(t, f, Finding{Software: version})
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

// Guards against an attempt id that two streams of different versions have, of which the later
// one is taken for both.
func TestOneAttemptAtTwoVersionsIsNotKnown(t *testing.T) {
	r, attempt := NewRegistry(start), KeyOf("", "s", "a")
	for _, software := range []string{"v1", "v2"} {
		r.Put(Record{Attempt: attempt, Content: 1, Software: software, TTL: time.Minute}, start)
	}
	assert.Equal(t, r.Find(attempt, start), Finding{Several: true})
}

// Guards against a version that counts for as long as another one goes on to be seen, and
// against one that is forgotten while its streams may still be taken up.
func TestEachVersionOfAKeyExpiresByItself(t *testing.T) {
	r, key := NewRegistry(start), VersionKey("s")
	r.Adopt(VersionRecord("s", "v1"), start)
	for at := time.Duration(0); at <= 2*MaxTTL; at += VersionInterval {
		now := start.Add(at)
		r.Adopt(VersionRecord("s", "v2"), now)
		want := Finding{Several: true}
		if at > MaxTTL+time.Second {
			want = Finding{Software: "v2"}
		}
		assert.Equal(t, r.Find(key, now), want, "after %v", at)
	}
}

// Property: what is known of a key does not depend on who heard what, or in which order it is
// put together, and it names a version only if no other one was ever heard of.
func TestFindingsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Registry{NewRegistry(start), NewRegistry(start), NewRegistry(start)}
		heard := map[string]bool{}
		for range rapid.IntRange(0, 6).Draw(t, "records") {
			software := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
			hosts[rapid.IntRange(0, 2).Draw(t, "host")].Adopt(Record{Attempt: 1, Content: 2, Software: software, TTL: time.Minute}, start)
			heard[software] = true
		}
		a, b, c := hosts[0].Find(2, start), hosts[1].Find(2, start), hosts[2].Find(2, start)
		found := a.Merge(b).Merge(c)
		assert.Equal(t, found, c.Merge(a.Merge(b)))
		assert.Equal(t, found.Several, len(heard) > 1)
		assert.Equal(t, found.Known(), len(heard) == 1)
		assert.Assert(t, !found.Known() || heard[found.Software])
	})
}
