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
	versions versionsSent
}

// RecordOrigin records a stream that this host began at a service.
func (l *Link) RecordOrigin(service string, rec origin.Record) {
	now := l.deps.Now()
	l.sendVersion(service, rec.Software, now) // first: whoever knows the stream knows its version
	l.record(rec, now)
}

// record keeps a record and has it sent to the hosts that keep those of all.
func (l *Link) record(rec origin.Record, now time.Time) {
	l.origins.registry.Put(rec, now)
	l.origins.outbox.Add(rec, now)
}

// Sources other than hosts.
const (
	sourceStore     = "store"          // the platform's store
	storeUnread     = "store_unread"   // what the store knew could not be read
	hostsUnanswered = "no_host"        // none of the hosts that keep records answered
	versionsListed  = "other_versions" // which versions the upstreams have, or had
)

// FindOrigin returns which version of the software began the stream of an attempt, and the
// address of the host that knew it, "" for this one. It asks the hosts that keep records, and
// reads those of the store if none of them knows.
func (l *Link) FindOrigin(ctx context.Context, k origin.Key) (f origin.Finding, source string) {
	if f = l.origins.registry.Find(k, l.deps.Now()); f != (origin.Finding{}) {
		return f, ""
	}
	for _, a := range l.askKeepers(ctx, k) {
		if a.found[0] != (origin.Finding{}) {
			return a.found[0], a.address
		}
	}
	l.deps.LoadOrigins(ctx)
	return l.origins.registry.Find(k, l.deps.Now()), sourceStore
}

// FindOriginByContent is FindOrigin for a caller that names no attempt. Streams of the same
// content may have been begun by others, and the record of the caller's own may be lost, so a
// version is known only if the service's upstreams had no other one for as long as the stream
// may have lasted. Several is reported if they had, or if that cannot be told.
func (l *Link) FindOriginByContent(ctx context.Context, service string, content origin.Key) (f origin.Finding, source string) {
	versions := origin.VersionKey(service)
	history, complete := l.listedVersions(service), false
	answers := l.askKeepers(ctx, origin.HistoryKey(), content, versions) // the first may make a host read the store
	for _, a := range answers {
		if a.found[1].Known() {
			source = a.address
		}
		complete = complete || a.found[0].Known()
		f, history = f.Merge(a.found[1]), history.Merge(a.found[2])
	}
	if !complete && !l.deps.LoadHistory(ctx) { // what hosts knew that were all lost
		return origin.Finding{Several: true}, storeUnread
	}
	if own := l.origins.registry.Find(content, l.deps.Now()); own != (origin.Finding{}) {
		f, source = f.Merge(own), ""
	}
	if f == (origin.Finding{}) {
		l.deps.LoadOrigins(ctx)
		f, source = l.origins.registry.Find(content, l.deps.Now()), sourceStore
	}
	history = history.Merge(l.origins.registry.Find(versions, l.deps.Now()))
	switch {
	case f == (origin.Finding{}):
		return f, source
	case len(answers) == 0 && len(l.recordKeepers()) > 0:
		return origin.Finding{Several: true}, hostsUnanswered
	case !history.Known():
		return origin.Finding{Several: true}, versionsListed
	}
	return f.Merge(history), source
}

// keeperAnswer is what a host that keeps records knows of the keys that it was asked for.
type keeperAnswer struct {
	address string
	found   []origin.Finding
}

// askKeepers asks the hosts that keep records for keys, in their order, and returns the answers of those that
// answered. With one key, the first answer that tells something is enough.
func (l *Link) askKeepers(ctx context.Context, keys ...origin.Key) (out []keeperAnswer) {
	ctx, cancel := context.WithTimeout(ctx, originFindTimeout)
	defer cancel()
	peers := l.recordKeepers()
	answers := make(chan *keeperAnswer, len(peers))
	for _, address := range peers {
		go func() { answers <- l.askKeeper(ctx, address, keys) }()
	}
	for range peers {
		select {
		case a := <-answers:
			if a == nil {
				continue
			}
			if out = append(out, *a); len(keys) == 1 && a.found[0] != (origin.Finding{}) {
				return out
			}
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// askKeeper returns the answer of one host; nil: none came.
func (l *Link) askKeeper(ctx context.Context, address string, keys []origin.Key) *keeperAnswer {
	out := &keeperAnswer{address: address}
	for _, k := range keys {
		a, err := l.conns.FindOrigin(ctx, address, &coordpb.OriginCall{Key: uint64(k)})
		if err != nil {
			return nil
		}
		out.found = append(out.found, origin.Finding{Software: a.Software, Several: a.Known && a.Software == ""})
	}
	return out
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
