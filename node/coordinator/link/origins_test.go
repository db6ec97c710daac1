package link

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	leasing "peridotpier.example/core/lease"
	"peridotpier.example/node/coordinator"
	"peridotpier.example/node/event"
	"peridotpier.example/node/origin"
)

// serveKeeper serves a host that keeps records, at an address, until stop is called.
func serveKeeper(t *testing.T, address string) (kept *origin.Registry, at string, stop func()) {
	t.Helper()
	return serveKeeperThatReads(t, address, nil)
}

// serveKeeperThatReads is serveKeeper; read reads what the store knows into the host's registry.
func serveKeeperThatReads(t *testing.T, address string, read func(*origin.Registry)) (kept *origin.Registry, at string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	kept = origin.NewRegistry(time.Now())
	h := newTestHost("keeper", noTable{}, leasing.Policy{})
	c := coordinator.New(coordinator.Config{}, coordinator.Deps{Fleet: h.fleet, Config: h.config, Lease: h.lease, Feed: h.feed, Log: event.NewLog(nil), Origins: kept,
		LoadHistory: func(context.Context) bool {
			if read != nil {
				read(kept)
			}
			return read != nil
		}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Serve(ctx, ln) }()
	stop = func() { cancel(); <-done }
	return kept, ln.Addr().String(), stop
}

// Guards against a host that keeps records, restarts at its address, and never gets those of
// streams that are still running.
func TestARestartedKeeperGetsWhatIsStillNeeded(t *testing.T) {
	first, address, stop := serveKeeper(t, "127.0.0.1:0")
	l := newHolder(0, 0, 0).newLink(Config{Address: "self"})
	l.conns = newDialingConns()
	l.deputies = []string{address}
	l.RecordOrigin("s", origin.Record{Attempt: 1, Content: 2, Software: "v1", TTL: time.Minute})
	l.sendOrigins(t.Context())
	assert.Equal(t, first.Find(1, time.Now()).Software, "v1")

	stop()
	second, _, stop := serveKeeper(t, address)
	defer stop()
	l.RecordOrigin("s", origin.Record{Attempt: 3, Content: 4, Software: "v2", TTL: time.Minute})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.sendOrigins(t.Context())
		if second.Find(1, time.Now()).Known() && second.Find(3, time.Now()).Known() {
			return
		}
	}
	t.Fatal("the process that took the keeper's place lacks records")
}

// Guards against streams that nobody left knows after the loss of all but one of six hosts.
func TestEachOfSixHostsKeepsARecord(t *testing.T) {
	var others []string
	var kept []*origin.Registry
	for range 5 {
		registry, address, stop := serveKeeper(t, "127.0.0.1:0")
		defer stop()
		others, kept = append(others, address), append(kept, registry)
	}
	l := newHolder(0, 0, 0).newLink(Config{Address: "self"})
	l.conns = newDialingConns()
	l.deputies = others
	l.RecordOrigin("s", origin.Record{Attempt: 1, Content: 2, Software: "v1", TTL: time.Minute})
	l.sendOrigins(t.Context())
	for i, registry := range kept {
		assert.Check(t, registry.Find(1, time.Now()).Known(), "host %d", i)
	}
}

// Guards against a record that waits for others while its host may be lost.
func TestARecordIsSentBeforeOthersAreAwaited(t *testing.T) {
	kept, address, stop := serveKeeper(t, "127.0.0.1:0")
	defer stop()
	l := newHolder(0, 0, 0).newLink(Config{Address: "self"})
	l.conns = newDialingConns()
	l.deputies = []string{address}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.RunOrigins(ctx) }()
	defer func() { cancel(); <-done }()
	fastest := time.Hour
	for k := origin.Key(1); k <= 8; k++ {
		began := time.Now()
		l.RecordOrigin("s", origin.Record{Attempt: k, Content: 100 + k, Software: "v1", TTL: time.Minute})
		for !kept.Find(k, began).Known() {
			assert.Assert(t, time.Since(began) < 5*time.Second)
			time.Sleep(time.Millisecond)
		}
		fastest = min(fastest, time.Since(began))
		time.Sleep(3 * originDelay)
	}
	assert.Assert(t, fastest < originDelay, "%v", fastest)
}

// Guards against a search that goes on as long as one of the hosts asked does not answer, and
// against one that another host's ignorance ends.
func TestAStreamIsFoundWhereverItIsKept(t *testing.T) {
	knows, address, stop := serveKeeper(t, "127.0.0.1:0")
	defer stop()
	_, ignorant, stopIgnorant := serveKeeper(t, "127.0.0.1:0")
	defer stopIgnorant()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	knows.Put(origin.Record{Attempt: 1, Content: 2, Software: "v1", TTL: time.Minute}, time.Now())
	l := newHolder(0, 0, 0).newLink(Config{Address: "self"})
	l.conns = newDialingConns()
	l.deputies = []string{silent.Addr().String(), ignorant, address}
	f, source := l.FindOrigin(t.Context(), 1)
	assert.Equal(t, f, origin.Finding{Software: "v1"})
	assert.Equal(t, source, address)
	began := time.Now()
	f, _ = l.FindOrigin(t.Context(), 5)
	assert.Equal(t, f, origin.Finding{})
	assert.Assert(t, time.Since(began) < 2*originFindTimeout)
}

// Guards against a stream that goes on at another version because its caller names no attempt, and
// the first host that knows a stream of the same content is believed.
func TestAStreamIsKnownByItsContentOnlyWhileThereWasOneVersion(t *testing.T) {
	const content = origin.Key(2)
	stream := func(attempt origin.Key, software string) origin.Record {
		return origin.Record{Attempt: attempt, Content: content, Software: software, TTL: time.Minute}
	}
	none, several := origin.Finding{}, origin.Finding{Several: true}
	for _, c := range []struct {
		name    string
		first   []origin.Record // of the first keeper
		second  []origin.Record
		own     []origin.Record
		inStore []origin.Record
		unread  bool // the host that asks cannot read the store's rows
		reads   bool // keepers read them when they are asked whether they have
		silent  bool // no keeper answers
		want    origin.Finding
	}{
		{name: "one version", first: []origin.Record{stream(1, "v1"), origin.VersionRecord("s", "v1")}, want: origin.Finding{Software: "v1"}},
		{name: "keepers of different streams", first: []origin.Record{stream(1, "v1")}, second: []origin.Record{stream(3, "v2")}, want: several},
		{name: "a keeper of both", first: []origin.Record{stream(1, "v1"), stream(3, "v2")}, second: []origin.Record{stream(1, "v1")}, want: several},
		{name: "an own stream and a keeper's", own: []origin.Record{stream(1, "v1")}, second: []origin.Record{stream(3, "v2")}, want: several},
		{name: "a version without a stream of the content", first: []origin.Record{stream(1, "v1")}, second: []origin.Record{origin.VersionRecord("s", "v2"), origin.VersionRecord("s", "v1")}, want: several},
		{name: "a version of before all hosts were lost", first: []origin.Record{stream(1, "v1"), origin.VersionRecord("s", "v1")}, inStore: []origin.Record{origin.VersionRecord("s", "v0")}, want: several},
		{name: "a version that is not known to be the only one", first: []origin.Record{stream(1, "v1")}, want: several},
		{name: "the store away", first: []origin.Record{stream(1, "v1"), origin.VersionRecord("s", "v1")}, unread: true, want: several},
		{name: "the store read by a keeper", first: []origin.Record{stream(1, "v1")}, inStore: []origin.Record{origin.VersionRecord("s", "v1")}, unread: true, reads: true, want: origin.Finding{Software: "v1"}},
		{name: "a former version read by a keeper", first: []origin.Record{stream(1, "v1"), origin.VersionRecord("s", "v1")}, inStore: []origin.Record{origin.VersionRecord("s", "v0")}, unread: true, reads: true, want: several},
		{name: "no keeper answers", own: []origin.Record{stream(1, "v1"), origin.VersionRecord("s", "v1")}, silent: true, want: several},
		{name: "a content that never was", first: []origin.Record{origin.VersionRecord("s", "v1")}, want: none},
		{name: "only in the store", inStore: []origin.Record{stream(1, "v1"), origin.VersionRecord("s", "v1")}, want: origin.Finding{Software: "v1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newHolder(0, 0, 0).newLink(Config{Address: "self"})
			l.conns = newDialingConns()
			for _, records := range [][]origin.Record{c.first, c.second} {
				var read func(*origin.Registry)
				if c.reads {
					read = func(r *origin.Registry) { putAll(r, c.inStore) }
				}
				kept, address, stop := serveKeeperThatReads(t, "127.0.0.1:0", read)
				l.deputies = append(l.deputies, address)
				putAll(kept, records)
				if c.silent {
					stop()
				} else {
					defer stop()
				}
			}
			putAll(l.origins.registry, c.own)
			l.deps.LoadHistory = func(context.Context) bool {
				if !c.unread {
					putAll(l.origins.registry, c.inStore)
				}
				return !c.unread
			}
			f, _ := l.FindOriginByContent(t.Context(), "s", content)
			assert.Equal(t, f, c.want)
		})
	}
}

func putAll(r *origin.Registry, records []origin.Record) {
	for _, rec := range records {
		r.Put(rec, time.Now())
	}
}
