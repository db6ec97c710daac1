// Package claim makes each request that may not be repeated run at most once under
// its idempotency key. A claim is written to the table service before anything is
// dispatched, names the attempt and its upstream, and gets the answer at the end.
// core/claim makes the decisions.
package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
)

// AttemptQuerier asks an upstream what became of an attempt.
type AttemptQuerier interface {
	QueryAttempt(ctx context.Context, upstream, attemptID string) (engineapi.Attempt, error)
}

// Config configures a Store.
type Config struct {
	TTL            time.Duration // how long a key is kept
	Grace          time.Duration // after a request's deadline, before other hosts may resolve its claim
	CallTimeout    time.Duration // of one claim, or of one write of an outcome, to the platform
	MaxInlineBytes int           // size of an answer up to which it is stored in the table row; larger ones go to the object store
	MaxAnswerBytes int           // size of an answer up to which it is stored at all; with TTL the initial Limits
	MaxQueued      int           // outcomes that wait to be written
	MaxQueuedBytes int           // of the answers in the queue
}

// DefaultConfig returns a configuration that fits an entry host of today's sites.
func DefaultConfig() Config {
	return Config{
		TTL:            24 * time.Hour,
		Grace:          5 * time.Second, // clocks of hosts differ by less; a larger difference costs one query, never a second run
		CallTimeout:    2 * time.Second, // longer than a slow commit, shorter than callers wait for a refusal
		MaxInlineBytes: 8 << 10,
		MaxAnswerBytes: 4 << 20,
		MaxQueued:      4096,    // 10 minutes of an outage with 7 outcomes a second
		MaxQueuedBytes: 8 << 20, // a quarter of the memory that a host may use for control
	}
}

// Deps are the dependencies of a Store.
type Deps struct {
	Records  Records
	Objects  store.Objects
	Attempts AttemptQuerier
	Log      *event.Log
	Owner    claim.Owner      // identifies this process
	Now      func() time.Time // wall clock
}

// Store claims requests and writes their outcomes.
type Store struct {
	cfg    Config
	deps   Deps
	queue  *queue
	limits atomic.Pointer[Limits]
}

// Limits are the bounds that a deployment's configuration sets. They may change
// while the store is in use.
type Limits struct {
	TTL            time.Duration // how long a key is kept
	MaxAnswerBytes int           // size of an answer up to which it is stored
}

// SetLimits replaces the limits for the claims and outcomes written from now on.
// Rows that exist keep their expiry.
func (s *Store) SetLimits(l Limits) { s.limits.Store(&l) }

// New returns a Store. Outcomes in its queue are written only while Run runs.
func New(cfg Config, deps Deps) *Store {
	s := &Store{cfg: cfg, deps: deps}
	s.queue = newQueue(cfg.MaxQueued, cfg.MaxQueuedBytes)
	s.SetLimits(Limits{TTL: cfg.TTL, MaxAnswerBytes: cfg.MaxAnswerBytes})
	return s
}

// Request describes a request to be claimed.
type Request struct {
	Team     string
	Key      string // the caller's idempotency key
	BodyHash string // of method, path and body
	Deadline time.Time
	// Route is the first attempt, if it is known before the claim: the claim then
	// names it, and RecordDispatch writes nothing.
	Route claim.Route
}

// Answer is a complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Dropped     bool // there was a body, too large to store
}

// Retry delays sent to callers.
const (
	storeRetryAfter         = time.Second // the outage of the platform's service may be short
	maxInProgressRetryAfter = 2 * time.Second
	minInProgressRetryAfter = 100 * time.Millisecond
)

// maxRowChanges bounds how often one operation decides again because the row has
// changed.
const maxRowChanges = 6

func newID() string { return uuid.NewString() }

// Claim returns exactly one of three: a grant, which lets the request run; the
// stored answer of its first run; or an error, which is always a *fault.Error.
func (s *Store) Claim(ctx context.Context, req Request) (*Grant, *Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	key := claim.Key(req.Team, req.Key)
	arrival := s.arrival(req)
	// The first try assumes that there is no row, since most keys are new; the
	// condition of the write detects those that are not.
	var seen VersionedRow
	for range maxRowChanges {
		d := claim.Decide(seen.Row, arrival, s.deps.Now())
		var err error
		switch d.Action {
		case claim.OwnClaim:
			left := req.Deadline.Sub(s.deps.Now())
			return &Grant{store: s, key: key, row: *seen.Row, version: seen.Version, deadline: time.Now().Add(left)}, nil, nil
		case claim.Run:
			seen, err = s.writeClaim(ctx, key, arrival, seen)
		case claim.Replay:
			a, err := s.storedAnswer(ctx, seen.Row.Answer)
			return nil, a, err
		case claim.InProgress:
			return nil, nil, inProgressError(d.RetryAfter)
		case claim.KeyReused:
			return nil, nil, fault.NotRun(fault.StepClaim, "", fault.CodeIdempotencyKeyReused, "idempotency key was used with another request")
		case claim.ResolveOutcome:
			seen, err = s.resolveOutcome(ctx, key, seen)
		}
		if err != nil {
			return nil, nil, err
		}
	}
	return nil, nil, inProgressError(0)
}

func (s *Store) arrival(req Request) claim.Arrival {
	overdueAfter := max(req.Deadline.Sub(s.deps.Now()), 0) + s.cfg.Grace
	return claim.Arrival{ID: newID(), BodyHash: req.BodyHash, Owner: s.deps.Owner, Route: req.Route,
		OverdueAfter: overdueAfter, TTL: max(s.limits.Load().TTL, 2*overdueAfter)}
}

// writeClaim writes the arrival's claim over the row that the decision was based
// on. On a conflict it returns the row that is there now.
func (s *Store) writeClaim(ctx context.Context, key string, a claim.Arrival, seen VersionedRow) (VersionedRow, error) {
	row := claim.New(a, s.deps.Now())
	row.Op = newID()
	next, err := s.deps.Records.Swap(ctx, key, seen.Version, &row)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return next, nil
	}
	if errors.Is(err, store.ErrUnconfirmed) {
		// The claim may have been written, or may still be. Nothing was
		// dispatched under it and nothing will be, so the key is released as soon
		// as the table service answers; the release also makes a claim that is
		// written later fail.
		s.enqueue(&outcomeWrite{key: key, id: row.ID, row: row, version: seen.Version, change: release}, err)
	}
	return VersionedRow{}, storeUnavailableError(err)
}

func (s *Store) storedAnswer(ctx context.Context, a *claim.Answer) (*Answer, error) {
	if a == nil || a.Dropped {
		return nil, &fault.Error{Step: fault.StepClaim, Code: fault.CodeConflict, Outcome: outcome.Completed,
			Err: errors.New("the request ran; its answer was not kept")}
	}
	out := &Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
	if a.Object == "" {
		return out, nil
	}
	body, err := s.deps.Objects.Get(ctx, a.Object)
	if err != nil {
		return nil, &fault.Error{Step: fault.StepClaim, Code: fault.CodeStoreUnavailable, Outcome: outcome.Completed,
			RetryAfter: storeRetryAfter, Err: err}
	}
	out.Body = body
	return out, nil
}

func inProgressError(after time.Duration) error {
	e := fault.Unknown(fault.StepClaim, "", fault.CodeInProgress, "a request under this idempotency key is being run")
	return e.WithRetryAfter(min(max(after, minInProgressRetryAfter), maxInProgressRetryAfter))
}

func storeUnavailableError(err error) error {
	return fault.NotRun(fault.StepClaim, "", fault.CodeStoreUnavailable, "claim: %w", err).WithRetryAfter(storeRetryAfter)
}
