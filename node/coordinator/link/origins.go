package link

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/reports"
	"peridotpier.example/node/coordinator/wire"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/pace"
)

// The streams that a host began are kept by the acting coordinator and by the hosts that
// it names as its deputies: all hosts know these, and all are hosts of a small deployment, so
// that whichever are left of one know its streams. A host that becomes one of them gets what
// may still be needed from the hosts where the streams began.

const (
	// originKeepers is how many hosts keep the records of a stream beside the one where
	// it began, and are asked for it: the acting coordinator and all of its deputies.
	originKeepers = reports.MaxDeputies + 1
	// originDelay is how long records wait after others were sent, for more to go along
	// with them. A stream whose record waits is lost with its host.
	originDelay = 25 * time.Millisecond
	// originBatch bounds the records of one call: 10 kB.
	originBatch = 500
	// originSendTimeout bounds a call that hands over records: a frozen host must not keep
	// the others waiting for theirs.
	originSendTimeout = 250 * time.Millisecond
	// originRetry is how long a host is left out that did not answer.
	originRetry = time.Second
	// originFindTimeout bounds the search for a stream's origin. Its caller waits.
	originFindTimeout = 300 * time.Millisecond
)

// keeper is what this host knows of a host that keeps records.
type keeper struct {
	next    int    // number of the first record that it does not have
	id      uint64 // its process; another one has no records
	restsTo time.Time
}

// origins is a host's part in keeping the origins of streams.
type origins struct {
	registry *origin.Registry
	outbox   origin.Outbox
	keepers  map[string]*keeper // by address; used by RunOrigins alone
}

// RecordOrigin records a stream that this host began.
func (l *Link) RecordOrigin(rec origin.Record) {
	now := l.deps.Now()
	l.origins.registry.Put(rec, now)
	l.origins.outbox.Add(rec, now)
}

// sourceStore is the source of what the platform's store knew.
const sourceStore = "store"

// FindOrigin returns which version of the software began a stream, and the address of the
// host that knew it, "" for this one. It asks the hosts that keep records, and reads those of
// the store if none of them knows.
func (l *Link) FindOrigin(ctx context.Context, k origin.Key) (software, source string, ok bool) {
	if software, ok = l.origins.registry.Find(k, l.deps.Now()); ok {
		return software, "", true
	}
	if software, source, ok = l.askKeepers(ctx, k); ok || l.deps.LoadOrigins == nil {
		return software, source, ok
	}
	l.deps.LoadOrigins(ctx)
	software, ok = l.origins.registry.Find(k, l.deps.Now())
	return software, sourceStore, ok
}

// askKeepers asks the hosts that keep records for a stream.
func (l *Link) askKeepers(ctx context.Context, k origin.Key) (software, source string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, originFindTimeout)
	defer cancel()
	type answer struct{ software, source string }
	peers := l.recordKeepers()
	answers := make(chan answer, len(peers))
	for _, address := range peers {
		go func() {
			a, err := l.conns.FindOrigin(ctx, address, &coordpb.OriginCall{Key: uint64(k)})
			if err != nil || !a.Known {
				a = &coordpb.OriginAnswer{}
			}
			answers <- answer{a.Software, address}
		}()
	}
	for range peers {
		select {
		case a := <-answers:
			if a.software != "" {
				return a.software, a.source, true
			}
		case <-ctx.Done():
			return "", "", false
		}
	}
	return "", "", false
}

// recordKeepers returns the addresses of the hosts, without this one, that keep records.
func (l *Link) recordKeepers() []string {
	var out []string
	for _, address := range append([]string{l.coordinatorAddress()}, l.peers()...) {
		if address != "" && address != l.cfg.Address && !slices.Contains(out, address) && len(out) < originKeepers {
			out = append(out, address)
		}
	}
	return out
}

// RunOrigins hands the records of this host's streams to the hosts that keep them, until ctx
// ends.
func (l *Link) RunOrigins(ctx context.Context) error {
	for added := l.origins.outbox.Added(); pace.SleepOrWake(ctx, originRetry, added); {
		added = l.origins.outbox.Added()
		l.sendOrigins(ctx)
		if !pace.Sleep(ctx, originDelay) {
			break
		}
	}
	return ctx.Err()
}

// sendOrigins sends each keeper what it does not have.
func (l *Link) sendOrigins(ctx context.Context) {
	known := map[string]*keeper{}
	var sends sync.WaitGroup
	for _, address := range l.recordKeepers() {
		k := l.origins.keepers[address]
		if k == nil {
			k = &keeper{}
		}
		known[address] = k
		sends.Go(func() { l.sendTo(ctx, address, k) })
	}
	sends.Wait()
	l.origins.keepers = known
}

func (l *Link) sendTo(ctx context.Context, address string, k *keeper) {
	ctx, cancel := context.WithTimeout(ctx, originSendTimeout)
	defer cancel()
	for l.deps.Now().After(k.restsTo) {
		records, next := l.origins.outbox.Next(k.next, originBatch, l.deps.Now())
		if len(records) == 0 {
			return
		}
		a, err := l.conns.KeepOrigins(ctx, address, wire.EncodeOrigins(records))
		if err != nil {
			l.deps.Metrics.CountKind(metrics.OriginsSent, "failed", int64(len(records)))
			k.restsTo = l.deps.Now().Add(originRetry)
			return
		}
		l.deps.Metrics.CountKind(metrics.OriginsSent, "kept", int64(len(records)))
		if k.next = next; k.id != 0 && k.id != a.Id {
			k.next = 0
		}
		k.id = a.Id
	}
}
