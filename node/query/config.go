// Package query reads the state that all hosts of a site share: the configuration
// in force, which hosts have it, and the audit trail.
package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/config"
	"peridotpier.example/core/revision"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

const (
	// DefaultPollInterval is the mean time between two polls of the table, which
	// are the fallback when a push from a peer is missed. With the jitter, a
	// missed push costs at most 5 s of the 16 s within which a change must be in
	// force, and 420 hosts use 105 of the table's 2,000 reads a second.
	DefaultPollInterval = 4 * time.Second
	pollJitter          = 0.25            // share of the interval
	pollTimeout         = 3 * time.Second // of one poll, including the read of the document
)

// State is the configuration in force on this host, as one immutable value: a
// request is handled entirely under the State in which it was admitted.
type State struct {
	Version uint64
	Preset  *config.Preset
	Index   *config.Index
	Head    revision.Head

	compressed []byte // the compressed document
}

// Deps are the dependencies of the queries. Now, Rand and Log may be nil.
type Deps struct {
	Table   store.Table
	Objects store.Objects
	Log     *event.Log
	Now     func() time.Time
	Rand    pace.Rand
	// OnLost is called when the table shows an older head than the one in force, which it
	// may have lost; nil: not called.
	OnLost func(ctx context.Context, inForce revision.Head) error
}

// ConfigReader keeps this host at the newest configuration that it receives, from
// the table or from peers. It accepts only higher versions, so that late, repeated
// or stale input never takes a host back. It is safe for concurrent use.
type ConfigReader struct {
	pollInterval time.Duration
	deps         Deps

	state atomic.Pointer[State]
	wake  chan struct{} // triggers a poll by Run

	mu              sync.Mutex
	changed         chan struct{} // closed when state changes, then replaced
	confirmed       time.Time     // when the state was last known to be the newest; zero: never
	loggedFreshness revision.Freshness
}

// NewConfigReader returns a reader that polls about once in the interval poll
// (0: DefaultPollInterval).
func NewConfigReader(poll time.Duration, deps Deps) *ConfigReader {
	if poll == 0 {
		poll = DefaultPollInterval
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Rand == nil {
		deps.Rand = pace.DefaultRand()
	}
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	return &ConfigReader{pollInterval: poll, deps: deps, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Current returns the state in force. ok is false until the first one was read;
// a host is not ready until then.
func (r *ConfigReader) Current() (*State, bool) {
	s := r.state.Load()
	return s, s != nil
}

// Next returns the state in force once its version is higher than after. Its only
// error is that of ctx.
func (r *ConfigReader) Next(ctx context.Context, after uint64) (*State, error) {
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if s, ok := r.Current(); ok && s.Version > after {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// Run polls until ctx ends.
func (r *ConfigReader) Run(ctx context.Context) error {
	for {
		_ = r.Poll(ctx)
		r.logFreshnessChange()
		timer := time.NewTimer(r.deps.Rand.Jitter(r.pollInterval, pollJitter))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case <-r.wake:
			timer.Stop()
		}
	}
}

// Poll reads the head once and puts a newer version in force.
func (r *ConfigReader) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := r.deps.Now()
	rows, err := r.deps.Table.Get(ctx, revision.HeadKey)
	if err != nil {
		return eris.Wrap(err, "read the head")
	}
	if len(rows) == 0 {
		return nil
	}
	head, err := revision.Decode[revision.Head](rows[0].Value)
	if err != nil {
		r.logUnreadable(0, err)
		return err
	}
	if err := r.adoptHead(ctx, head); err != nil {
		return err
	}
	r.confirm(head.Version, requestedAt)
	return nil
}

// Offer puts a snapshot from a peer in force if its version is higher than the
// current one. A snapshot without a document is accepted when the current state
// has the same document; otherwise the reader polls at once.
func (r *ConfigReader) Offer(version uint64, data []byte) error {
	if s, ok := r.Current(); ok && s.Version >= version {
		return nil
	}
	snap, err := revision.Decode[revision.Snapshot](data)
	if err != nil {
		r.logUnreadable(version, err)
		return err
	}
	compressed := snap.Document
	if len(compressed) == 0 {
		var ok bool
		if compressed, ok = r.localDocument(snap.Head.Digest); !ok {
			r.PollSoon()
			return nil
		}
	}
	return r.putInForce(snap.Head, compressed)
}

// Snapshot returns the encoded snapshot to send to peers: without the document for
// a push, with it for a peer that cannot reach the store. ok is false before the
// first state was read.
func (r *ConfigReader) Snapshot(withDocument bool) (version uint64, data []byte, ok bool) {
	s, ok := r.Current()
	if !ok {
		return 0, nil, false
	}
	snap := revision.Snapshot{Head: s.Head}
	if withDocument {
		snap.Document = s.compressed
	}
	data, err := json.Marshal(snap)
	return s.Version, data, err == nil
}

// reportLost reports that the table may have lost the head in force.
func (r *ConfigReader) reportLost(ctx context.Context, inForce revision.Head) {
	if r.deps.OnLost == nil {
		return
	}
	if err := r.deps.OnLost(ctx, inForce); err != nil && !errors.Is(err, store.ErrConflict) { // else another host was first
		r.deps.Log.Emit(event.ConfigRewriteFailed, zap.Uint64("version", inForce.Version), zap.Error(err))
	}
}

// PollSoon makes Run poll at once. Calls before that poll has begun are merged.
func (r *ConfigReader) PollSoon() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// adoptHead puts the version of a head that was read from the table in force. It
// reads the document from the object store unless this host has it.
func (r *ConfigReader) adoptHead(ctx context.Context, head revision.Head) error {
	if s, ok := r.Current(); ok && s.Version >= head.Version {
		if s.Version > head.Version {
			r.deps.Log.Emit(event.ConfigStaleRead, zap.Uint64("version", head.Version), zap.Uint64("in_force", s.Version))
			r.reportLost(ctx, s.Head)
		}
		return nil
	}
	compressed, ok := r.localDocument(head.Digest)
	if !ok {
		var err error
		if compressed, err = r.deps.Objects.Get(ctx, revision.DocumentName(head.Digest)); err != nil {
			return eris.Wrapf(err, "read the document of version %d", head.Version)
		}
	}
	return r.putInForce(head, compressed)
}

// localDocument returns the compressed document with a digest if it is in force.
func (r *ConfigReader) localDocument(digest string) ([]byte, bool) {
	if s, ok := r.Current(); ok && s.Head.Digest == digest {
		return s.compressed, true
	}
	return nil, false
}

// putInForce puts a head with its document in force, unless the same or a newer
// version already is.
func (r *ConfigReader) putInForce(head revision.Head, compressed []byte) error {
	next, err := r.build(head, compressed)
	if err != nil {
		r.logUnreadable(head.Version, err)
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.Current(); ok && s.Version >= next.Version {
		return nil
	}
	r.state.Store(next)
	close(r.changed)
	r.changed = make(chan struct{})
	r.deps.Log.Emit(event.ConfigInForce, zap.Uint64("version", head.Version), zap.String("preset", head.Preset))
	return nil
}

// build checks that the document has the digest in the head, and indexes it. If
// the document is the one in force, its index is reused.
func (r *ConfigReader) build(head revision.Head, compressed []byte) (*State, error) {
	next := &State{Version: head.Version, Head: head, compressed: compressed}
	if s, ok := r.Current(); ok && s.Head.Digest == head.Digest {
		next.Index, next.compressed = s.Index, s.compressed
	} else {
		doc, err := revision.DecompressVerified(compressed, head.Digest)
		if err != nil {
			return nil, err
		}
		cfg, faults := config.Parse(doc)
		if len(faults) > 0 {
			return nil, fmt.Errorf("document has %d faults, the first at %s", len(faults), faults[0])
		}
		next.Index = config.NewIndex(cfg)
	}
	p, ok := next.Index.Preset(head.Preset)
	if !ok || head.Version == 0 {
		return nil, errors.New("no such preset: " + head.Preset)
	}
	next.Preset = p
	return next, nil
}

func (r *ConfigReader) logUnreadable(version uint64, err error) {
	r.deps.Log.Emit(event.ConfigUnreadable, zap.Uint64("version", version), zap.Error(err))
}

// Document returns the configuration document byte for byte as it was applied.
func (s *State) Document() ([]byte, error) {
	return revision.DecompressVerified(s.compressed, s.Head.Digest)
}
