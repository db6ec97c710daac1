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
	ln, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	kept = origin.NewRegistry(time.Now())
	h := newTestHost("keeper", noTable{}, leasing.Policy{})
	c := coordinator.New(coordinator.Config{}, coordinator.Deps{Fleet: h.fleet, Config: h.config, Lease: h.lease, Feed: h.feed, Log: event.NewLog(nil), Origins: kept})
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
	l.RecordOrigin(origin.Record{Attempt: 1, Content: 2, Software: "v1", TTL: time.Minute})
	l.sendOrigins(t.Context())
	software, ok := first.Find(1, time.Now())
	assert.Assert(t, ok && software == "v1")

	stop()
	second, _, stop := serveKeeper(t, address)
	defer stop()
	l.RecordOrigin(origin.Record{Attempt: 3, Content: 4, Software: "v2", TTL: time.Minute})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		l.sendOrigins(t.Context())
		_, older := second.Find(1, time.Now())
		if _, newer := second.Find(3, time.Now()); older && newer {
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
	l.RecordOrigin(origin.Record{Attempt: 1, Content: 2, Software: "v1", TTL: time.Minute})
	l.sendOrigins(t.Context())
	for i, registry := range kept {
		_, ok := registry.Find(1, time.Now())
		assert.Check(t, ok, "host %d", i)
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
		l.RecordOrigin(origin.Record{Attempt: k, Content: 100 + k, Software: "v1", TTL: time.Minute})
		for _, ok := kept.Find(k, began); !ok; _, ok = kept.Find(k, began) {
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
	software, source, ok := l.FindOrigin(t.Context(), 1)
	assert.Assert(t, ok && software == "v1" && source == address)
	began := time.Now()
	_, _, ok = l.FindOrigin(t.Context(), 5)
	assert.Assert(t, !ok)
	assert.Assert(t, time.Since(began) < 2*originFindTimeout)
}
