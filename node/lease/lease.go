// Package lease holds a role for one process at a time through the platform's
// table: it campaigns, renews and hands over, and tells its user right before
// each act whether the role is still held.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	decide "peridotpier.example/core/lease"
	"peridotpier.example/node/event"
	"peridotpier.example/node/pace"
	"peridotpier.example/node/store"
)

const (
	jitter       = 0.1             // share of each wait
	retryPause   = time.Second / 2 // after a refusal by the table: several tries within one TTL
	callTimeout  = 2 * time.Second // of one call while not holding
	releaseBound = 2 * time.Second // of the hand-over on shutdown
)

// Prefix starts the keys of all leases; beatSuffix ends a lease's second row.
const (
	Prefix     = "lease/"
	beatSuffix = "/beat"
)

// ErrNotHeld says that the lease is not held, or not in the epoch asked for,
// or not for long enough: the act must not be done.
var ErrNotHeld = errors.New("lease not held")

// Config names a lease and this process.
type Config struct {
	Name   string // of the role, as in "planner/order-desk"
	Holder string // this process, new at each start; "" makes one up
	Policy decide.Policy
	// Ended says whether a holder is known to have ended, as a former process
	// of this host has; nil: none is. It need not be waited for.
	HasTerminated func(holder string) bool
	// TryBound bounds one try of a call; 0: none. An answer can be lost without
	// a sign, and waiting for it would cost the whole term.
	TryTimeout time.Duration
}

// Deps are what a lease works with; Now and Rand may be nil.
type Deps struct {
	Table store.Table
	Log   *event.Log
	Now   func() time.Time
	Rand  pace.Rand
}

// Term is one holding of a lease.
type Term struct {
	Epoch uint64     // fencing number for orders under this term
	Guard store.Cond // holds as long as nobody else took the lease; put it into every write under this term
}

// Lease campaigns for one role.
type Lease struct {
	cfg  Config
	deps Deps
	log  *event.Log

	mu   sync.Mutex
	held *decide.Held // nil: not held
	seen decide.Observed
	// yielded is the newest epoch whose holder said that it acts no more.
	yielded uint64
	// lapsed is the epoch that this process held last and that ended only
	// because it was not renewed in time; 0: none.
	lapsed uint64

	taken pace.Signal // given when the lease is taken
}

// Acquired returns a channel that is closed when this process takes the lease next.
func (l *Lease) Acquired() <-chan struct{} { return l.taken.Next() }

// New makes a lease; Run campaigns for it.
func New(cfg Config, deps Deps) *Lease {
	if cfg.Holder == "" {
		cfg.Holder = uuid.NewString()
	}
	if cfg.Policy == (decide.Policy{}) {
		cfg.Policy = decide.DefaultPolicy()
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
	if cfg.TryTimeout > 0 {
		deps.Table = boundedTable{Table: deps.Table, bound: cfg.TryTimeout}
	}
	return &Lease{cfg: cfg, deps: deps, log: deps.Log.With(zap.String("lease", cfg.Name))}
}

// boundedTable gives each commit a bound of its own.
type boundedTable struct {
	store.Table
	bound time.Duration
}

// Commit implements store.Table.
func (t boundedTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.bound)
	defer cancel()
	return t.Table.Commit(ctx, txn)
}

// Term returns the present term, if the lease is held now.
func (l *Lease) Term() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || l.cfg.Policy.Remaining(*l.held, l.deps.Now()) <= 0 {
		return Term{}, false
	}
	return Term{Epoch: l.held.Record.Epoch, Guard: store.Cond{Key: l.grantKey(), Version: l.held.Rows.Grant}}, true
}

// Check says whether an act that ends within need may be started now under
// the term of epoch. It asks the clock anew each time: a process that was
// paused for longer than its lease wakes in the middle of its work, and only
// a check right before the act stops it from acting beside its successor.
func (l *Lease) Check(epoch uint64, need time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || l.held.Record.Epoch != epoch || l.cfg.Policy.Remaining(*l.held, l.deps.Now()) <= need {
		return ErrNotHeld
	}
	return nil
}

// Run campaigns for the lease and renews it until ctx ends, then hands it
// over. The user must have ended its acts by then.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := l.step(ctx)
		pace.Sleep(ctx, l.deps.Rand.Jitter(wait, jitter))
	}
	l.release()
	return ctx.Err()
}

// step does what is due and returns the wait until the next step.
func (l *Lease) step(ctx context.Context) time.Duration {
	held, ok := l.holding()
	if !ok {
		return l.campaign(ctx)
	}
	switch d := l.cfg.Policy.DecideForHolder(held, l.deps.Now()); d.Action {
	case decide.Renew:
		return l.renew(ctx, held)
	case decide.StepDown:
		l.lose("time ran out", true)
		return 0
	default:
		return d.Wait
	}
}

// Refresh reads who holds the lease, for Seen, without running for it.
func (l *Lease) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, record, err := l.read(ctx)
	if err == nil {
		l.see(rows, record)
	}
	return err
}

func (l *Lease) campaign(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, record, err := l.read(ctx)
	if err != nil {
		return retryPause
	}
	seen := l.see(rows, record)
	d := l.cfg.Policy.DecideForCandidate(l.cfg.Holder, seen, l.deps.Now())
	if d.Action != decide.Acquire {
		return d.Wait
	}
	from := l.deps.Now()
	v, err := store.CommitResolved(ctx, l.deps.Table, store.Txn{Op: uuid.NewString(), Conds: l.conds(rows),
		Writes: []store.Write{{Key: l.grantKey(), Value: d.Next.Encode()}, {Key: l.beatKey()}}})
	if err != nil {
		// Lost the race, or unknown. An acquisition that takes effect later
		// names this process in an epoch in which it never acts; it is waited
		// out like another's.
		return retryPause
	}
	l.hold(&decide.Held{Rows: decide.Rows{Grant: v, Heartbeat: v}, Record: d.Next, TTLStart: from})
	l.log.Emit(event.LeaseAcquired, zap.Uint64("epoch", d.Next.Epoch))
	return 0
}

func (l *Lease) see(rows decide.Rows, record decide.Record) decide.Observed {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = l.seen.Observe(rows, record, l.deps.Now())
	seen := l.seen
	seen.SteppedDown = record.Epoch <= l.yielded || l.ended(record.Holder)
	return seen
}

// ended says whether a holder acts no more. This process itself does not while
// it campaigns.
func (l *Lease) ended(holder string) bool {
	return holder == l.cfg.Holder || l.cfg.HasTerminated != nil && l.cfg.HasTerminated(holder)
}

// HeldRecord returns the rows and the grant of the lease while it is held, for
// the holder to tell to others.
func (l *Lease) HeldRecord() (decide.Rows, decide.Record, bool) {
	h, ok := l.holding()
	if !ok || l.cfg.Policy.Remaining(h, l.deps.Now()) <= 0 {
		return decide.Rows{}, decide.Record{}, false
	}
	return h.Rows, h.Record, true
}

// Observe takes the holder's own word of its rows. A candidate that has heard
// it need not begin to wait only when the holder falls silent.
func (l *Lease) Observe(rows decide.Rows, record decide.Record) { l.see(rows, record) }

// RecordStepDown notes that the holder of an epoch has said itself that it acts in it
// no more. It need not be waited for.
func (l *Lease) RecordStepDown(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.yielded = max(l.yielded, epoch)
}

// LastObserved is the grant that was read last while the lease was not held.
func (l *Lease) LastObserved() decide.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen.Record
}

func (l *Lease) renew(ctx context.Context, held decide.Held) time.Duration {
	from := l.deps.Now()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Policy.Remaining(held, from))
	defer cancel()
	v, err := store.CommitResolved(ctx, l.deps.Table, store.Txn{Op: uuid.NewString(),
		Conds: l.conds(held.Rows), Writes: []store.Write{{Key: l.beatKey()}}})
	switch {
	case err == nil:
		held.Rows.Heartbeat, held.TTLStart = v, from
		l.hold(&held)
		return 0
	case errors.Is(err, store.ErrConflict):
		l.lose("taken over", false)
	}
	return retryPause
}

// release hands the lease over. It stops holding before it writes: a term
// that is still used while its successor may start would be no term.
func (l *Lease) release() {
	held, ok := l.holding()
	l.hold(nil)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseBound)
	defer cancel()
	free := held.Record
	free.Holder = ""
	_, err := store.CommitResolved(ctx, l.deps.Table, store.Txn{Op: uuid.NewString(),
		Conds: l.conds(held.Rows), Writes: []store.Write{{Key: l.grantKey(), Value: free.Encode()}}})
	if err != nil {
		l.log.Emit(event.LeaseReleaseFailed, zap.Error(err))
		return
	}
	l.log.Emit(event.LeaseReleased, zap.Uint64("epoch", held.Record.Epoch))
}

func (l *Lease) read(ctx context.Context) (decide.Rows, decide.Record, error) {
	var at decide.Rows
	rows, err := l.deps.Table.Get(ctx, l.grantKey(), l.beatKey())
	if err != nil {
		return at, decide.Record{}, err
	}
	var value []byte
	for _, r := range rows {
		if r.Key == l.grantKey() {
			at.Grant, value = r.Version, r.Value
		} else {
			at.Heartbeat = r.Version
		}
	}
	record, err := decide.Decode(value)
	if err != nil {
		l.log.Emit(event.LeaseRecordCorrupt, zap.Error(err))
	}
	return at, record, err
}

func (l *Lease) conds(r decide.Rows) []store.Cond {
	return []store.Cond{{Key: l.grantKey(), Version: r.Grant}, {Key: l.beatKey(), Version: r.Heartbeat}}
}

func (l *Lease) grantKey() string { return Prefix + l.cfg.Name }
func (l *Lease) beatKey() string  { return Prefix + l.cfg.Name + beatSuffix }

func (l *Lease) holding() (decide.Held, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		return decide.Held{}, false
	}
	return *l.held, true
}

func (l *Lease) hold(h *decide.Held) {
	l.mu.Lock()
	if l.held == nil && h != nil {
		l.taken.Notify()
	}
	l.held, l.lapsed = h, 0
	l.mu.Unlock()
}

// Lapsed says whether this process held the lease last, as far as it knows, and
// its time ran out without a renewal, as it does while the store is away.
func (l *Lease) Lapsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.lapsed
	if l.held != nil && l.cfg.Policy.Remaining(*l.held, l.deps.Now()) <= 0 {
		held = l.held.Record.Epoch
	}
	return held > 0 && l.seen.Record.Epoch <= held
}

func (l *Lease) lose(why string, lapsed bool) {
	held, _ := l.holding()
	l.hold(nil)
	if lapsed {
		l.mu.Lock()
		l.lapsed = held.Record.Epoch
		l.mu.Unlock()
	}
	l.log.Emit(event.LeaseLost, zap.Uint64("epoch", held.Record.Epoch), zap.String("why", why))
}
