// Package lease grants a role to one process at a time through rows of the
// platform's table. It campaigns for the lease, renews it and releases it, and
// its user checks right before each action that the lease is still held.
package lease

import (
	"context"
	"errors"
	"strconv"
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
	jitterFraction = 0.1             // random fraction of each wait
	retryDelay     = time.Second / 2 // after a failed call to the table; short enough for several tries within one TTL
	callTimeout    = 2 * time.Second // timeout of the calls of one step while the lease is not held
	releaseTimeout = 2 * time.Second // timeout of the release on shutdown
	corruptRepeat  = time.Minute     // between two events of a record that cannot be read; it is read twice a second
)

// Prefix starts the row keys of all leases; eraSeparator separates the name from the era
// of the store, if it has been restored, and heartbeatSuffix ends the key of a lease's
// heartbeat row.
const (
	Prefix          = "lease/"
	eraSeparator    = "@"
	heartbeatSuffix = "/beat"
)

// ErrNotHeld reports that the lease is not held, not held in the given epoch,
// or expires too soon; the action must not be carried out.
var ErrNotHeld = errors.New("lease not held")

// errNoEpoch reports a grant row that is there and names no epoch: overwriting it could use
// an epoch again.
var errNoEpoch = errors.New("lease record without an epoch")

// Config configures a Lease.
type Config struct {
	Name   string        // name of the role, for example "planner/order-desk"
	Holder string        // identifies this process, unique for each start; "" generates one
	Policy decide.Policy // the zero value is DefaultPolicy
	// HasTerminated reports whether a holder's process is known to have
	// terminated, such as an earlier process of this host. A candidate need not
	// wait for such a holder's lease to expire. With nil, none is known.
	HasTerminated func(holder string) bool
	// TryTimeout bounds each try of a commit; 0 means no bound. A response can be
	// lost without an error, and waiting for it would use up the whole term.
	TryTimeout time.Duration
}

// Deps are the dependencies of a Lease. Era, Log, Now and Rand may be nil.
type Deps struct {
	Table store.Table
	// Era returns the newest era of the store that this process has seen; nil: the store
	// is never restored.
	Era func() uint64
	// Settled reports whether the holder of an epoch, which is this process, need not wait any
	// more for what former holders have done. A successor on the same host learns it by the
	// renewals (Term.PreviousSettled). nil: never.
	Settled func(epoch uint64) bool
	Log     *event.Log
	Now     func() time.Time
	Rand    pace.Rand
}

// Term is one period in which a process holds a lease.
type Term struct {
	Epoch    uint64 // fencing number for orders under this term
	Previous uint64 // epoch of the holder before; 0: there was none
	// PreviousUnknown is set if a holder after Previous may have been forgotten.
	PreviousUnknown bool
	// PreviousSettled is set if the holder in the epoch Previous is known to have terminated, see
	// Config.HasTerminated, and had told that it was settled.
	PreviousSettled bool
	Guard           store.Cond // true until another process acquires the lease; every write under this term must include it
}

// Follows reports whether the last holder before this term held the lease in an epoch; 0:
// whether there was none.
func (t Term) Follows(epoch uint64) bool { return !t.PreviousUnknown && t.Previous == epoch }

// Lease campaigns for one lease and renews it.
type Lease struct {
	cfg  Config
	deps Deps
	log  *event.Log

	mu       sync.Mutex
	held     *decide.Held // nil: not held
	previous previous     // of held
	observed decide.Observed
	// steppedDownEpoch is the highest epoch whose holder has reported that it no
	// longer acts.
	steppedDownEpoch uint64
	// lapsedEpoch is the last epoch that this process held, if it ended only
	// because the lease was not renewed in time; 0 otherwise.
	lapsedEpoch   uint64
	corruptToldAt time.Time // when LeaseRecordCorrupt was last emitted; zero: the record was read since

	acquired pace.Signal // notified when this process acquires the lease
}

// previous is what is known of the holder before a term.
type previous struct {
	epoch   uint64 // 0: there was none
	unknown bool   // a later holder may have been forgotten
	settled bool   // it has terminated, and had told that it was settled
}

// Acquired returns a channel that is closed when this process next acquires the
// lease.
func (l *Lease) Acquired() <-chan struct{} { return l.acquired.Next() }

// New returns a Lease that is not held; Run campaigns for it.
func New(cfg Config, deps Deps) *Lease {
	if cfg.Holder == "" {
		cfg.Holder = uuid.NewString()
	}
	if cfg.Policy == (decide.Policy{}) {
		cfg.Policy = decide.DefaultPolicy()
	}
	if deps.Era == nil {
		deps.Era = func() uint64 { return 0 }
	}
	if deps.Settled == nil {
		deps.Settled = func(uint64) bool { return false }
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
		deps.Table = timeoutTable{Table: deps.Table, timeout: cfg.TryTimeout}
	}
	return &Lease{cfg: cfg, deps: deps, log: deps.Log.With(zap.String("lease", cfg.Name))}
}

// timeoutTable is a table that bounds each commit by a timeout.
type timeoutTable struct {
	store.Table
	timeout time.Duration
}

// Commit implements store.Table.
func (t timeoutTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Commit(ctx, txn)
}

// Term returns the current term, and whether the lease is held now.
func (l *Lease) Term() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || l.cfg.Policy.Remaining(*l.held, l.deps.Now()) <= 0 {
		return Term{}, false
	}
	return Term{Epoch: l.held.Record.Epoch, Previous: l.previous.epoch, PreviousUnknown: l.previous.unknown, PreviousSettled: l.previous.settled, Guard: store.Cond{Key: l.grantKey(decide.EraOfEpoch(l.held.Record.Epoch)), Version: l.held.Rows.Grant}}, true
}

// Check returns nil if an action that takes at most need may be started now
// under the term of epoch, and ErrNotHeld otherwise. It reads the clock on each
// call: a process that was paused for longer than its lease resumes in the
// middle of its work, and only a check right before the action prevents it from
// acting at the same time as its successor.
func (l *Lease) Check(epoch uint64, need time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || l.held.Record.Epoch != epoch || l.cfg.Policy.Remaining(*l.held, l.deps.Now()) <= need {
		return ErrNotHeld
	}
	return nil
}

// Run campaigns for the lease and renews it until ctx ends, then releases it.
// By then the user must have finished all actions under the lease.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := l.step(ctx)
		pace.Sleep(ctx, l.deps.Rand.Jitter(wait, jitterFraction))
	}
	l.release()
	return ctx.Err()
}

// step carries out the action that is due and returns the wait until the next
// step.
func (l *Lease) step(ctx context.Context) time.Duration {
	held, ok := l.currentHeld()
	if !ok {
		return l.campaign(ctx)
	}
	switch d := l.cfg.Policy.DecideForHolder(held, l.deps.Era(), l.deps.Now()); d.Action {
	case decide.Renew:
		return l.renew(ctx, held)
	case decide.Reacquire:
		return l.reacquire(ctx, held)
	case decide.StepDown:
		l.lose("time ran out", true)
		return 0
	default:
		return d.Wait
	}
}

// Refresh reads the lease's rows, for LastObserved, without campaigning.
func (l *Lease) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := l.read(ctx)
	return err
}

func (l *Lease) campaign(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	is, observed, err := l.read(ctx)
	if err != nil {
		return retryDelay
	}
	d := l.cfg.Policy.DecideForCandidate(l.cfg.Holder, observed, l.deps.Now())
	if d.Action != decide.Acquire {
		return d.Wait
	}
	return l.acquire(ctx, is.rows, d.Next, previous{is.record.Epoch, observed.MayBeForgotten(), is.settled && l.hasTerminated(is.record.Holder)})
}

// acquire writes a grant and returns the wait until the next step.
func (l *Lease) acquire(ctx context.Context, rows decide.Rows, next decide.Record, before previous) time.Duration {
	start, era := l.deps.Now(), decide.EraOfEpoch(next.Epoch)
	v, err := store.CommitResolved(ctx, l.deps.Table, store.Txn{Op: uuid.NewString(), Conds: l.conds(rows, era),
		Writes: []store.Write{{Key: l.grantKey(era), Value: next.Encode()}, {Key: l.heartbeatKey(era), Value: heartbeat(before.settled)}}})
	if err != nil || store.EraOf(v) != era {
		// Another candidate won, or the outcome is unknown, or the store was restored
		// before it took effect. An acquisition that takes effect later names this
		// process in an epoch in which it never acts; hasTerminated is true for that
		// holder.
		return retryDelay
	}
	l.mu.Lock()
	l.previous = before // set first: a term is never seen with what came before another one
	l.mu.Unlock()
	l.setHeld(&decide.Held{Rows: decide.Rows{Grant: v, Heartbeat: v}, Record: next, TTLStart: start})
	l.log.Emit(event.LeaseAcquired, zap.Uint64("epoch", next.Epoch), zap.Uint64("previous", before.epoch), zap.Bool("previous_unknown", before.unknown))
	return 0
}

// reacquire acquires a held lease again from a store that was restored and may have
// forgotten it. Other processes wait until this term would have expired.
func (l *Lease) reacquire(ctx context.Context, held decide.Held) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Policy.Remaining(held, l.deps.Now()))
	defer cancel()
	is, observed, err := l.read(ctx)
	if err != nil {
		return retryDelay
	}
	next, ok := l.cfg.Policy.Reacquisition(held, observed)
	if !ok {
		l.lose("taken over", false)
		return retryDelay
	}
	return l.acquire(ctx, is.rows, next, previous{epoch: held.Record.Epoch})
}

func (l *Lease) observe(rows decide.Rows, record decide.Record) decide.Observed {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = l.observed.Observe(rows, record, max(l.deps.Era(), store.EraOf(rows.Grant)), l.deps.Now())
	if record.Epoch > l.lapsedEpoch {
		l.lapsedEpoch = 0 // a later holder, also if a restored store forgets it
	}
	observed := l.observed
	observed.SteppedDown = record.Epoch <= l.steppedDownEpoch || l.hasTerminated(record.Holder)
	return observed
}

// hasTerminated reports whether a holder no longer acts. That includes this
// process itself, which does not act while it campaigns.
func (l *Lease) hasTerminated(holder string) bool {
	return holder == l.cfg.Holder || l.cfg.HasTerminated != nil && l.cfg.HasTerminated(holder)
}

// HeldRecord returns the row versions and the record of the lease, and whether
// it is held now. The holder announces them to other hosts.
func (l *Lease) HeldRecord() (decide.Rows, decide.Record, bool) {
	h, ok := l.currentHeld()
	if !ok || l.cfg.Policy.Remaining(h, l.deps.Now()) <= 0 {
		return decide.Rows{}, decide.Record{}, false
	}
	return h.Rows, h.Record, true
}

// Observe records the row versions and the record that the holder announced. A
// candidate that has received them has already begun to measure the time
// without a renewal when the announcements stop.
func (l *Lease) Observe(rows decide.Rows, record decide.Record) { l.observe(rows, record) }

// RecordStepDown records that the holder of epoch has reported that it no longer
// acts. A candidate need not wait for that term to expire.
func (l *Lease) RecordStepDown(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steppedDownEpoch = max(l.steppedDownEpoch, epoch)
}

// LastObserved returns the record that was last read or announced while the
// lease was not held.
func (l *Lease) LastObserved() decide.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observed.Record
}

func (l *Lease) renew(ctx context.Context, held decide.Held) time.Duration {
	from, era := l.deps.Now(), decide.EraOfEpoch(held.Record.Epoch)
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Policy.Remaining(held, from))
	defer cancel()
	v, err := store.CommitResolved(ctx, l.deps.Table, store.Txn{Op: uuid.NewString(),
		Conds: l.conds(held.Rows, era), Writes: []store.Write{{Key: l.heartbeatKey(era), Value: heartbeat(l.deps.Settled(held.Record.Epoch))}}})
	switch {
	case err == nil && store.EraOf(v) == era:
		held.Rows.Heartbeat, held.TTLStart = v, from
		l.setHeld(&held)
		return 0
	case era < l.deps.Era():
		return 0 // the rows are those of another era
	case errors.Is(err, store.ErrConflict):
		l.lose("taken over", false)
	}
	return retryDelay
}

// release frees the lease for the next holder. It ends the term before it
// writes, so that the term cannot be used once its successor may start.
func (l *Lease) release() {
	held, ok := l.currentHeld()
	l.setHeld(nil)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	released, era := held.Record, decide.EraOfEpoch(held.Record.Epoch)
	released.Holder = ""
	_, err := store.CommitResolved(ctx, l.deps.Table, store.Txn{Op: uuid.NewString(),
		Conds: l.conds(held.Rows, era), Writes: []store.Write{{Key: l.grantKey(era), Value: released.Encode()}}})
	if err != nil {
		l.log.Emit(event.LeaseReleaseFailed, zap.Error(err))
		return
	}
	l.log.Emit(event.LeaseReleased, zap.Uint64("epoch", held.Record.Epoch))
}

// read reads the rows of the newest era and records them as observed.
func (l *Lease) read(ctx context.Context) (lastRead, decide.Observed, error) {
	for {
		era := l.deps.Era()
		is, err := l.readRows(ctx, era)
		if err != nil {
			return is, decide.Observed{}, err
		}
		if l.deps.Era() == era { // else the answer told of a newer one
			return is, l.observe(is.rows, is.record), nil
		}
	}
}

// lastRead is what the rows of a lease say.
type lastRead struct {
	rows    decide.Rows
	record  decide.Record
	settled bool // its holder is settled
}

// settledMark is the value of the heartbeat row of a holder that is settled.
const settledMark = "settled"

// heartbeat returns the value of the heartbeat row of a holder.
func heartbeat(settled bool) []byte {
	if !settled {
		return nil
	}
	return []byte(settledMark)
}

func (l *Lease) readRows(ctx context.Context, era uint64) (is lastRead, err error) {
	rows, err := l.deps.Table.Get(ctx, l.grantKey(era), l.heartbeatKey(era))
	if err != nil {
		return is, err
	}
	var value []byte
	for _, r := range rows {
		if r.Key == l.grantKey(era) {
			is.rows.Grant, value = r.Version, r.Value
		} else {
			is.rows.Heartbeat, is.settled = r.Version, string(r.Value) == settledMark
		}
	}
	is.record, err = decide.Decode(value)
	if err == nil && is.rows.Grant != store.Absent && is.record.Epoch == 0 {
		err = errNoEpoch
	}
	l.tellCorrupt(is.rows.Grant, err)
	return is, err
}

// tellCorrupt tells that the record of a version cannot be read, at once and then once in
// corruptRepeat; nil: it can.
func (l *Lease) tellCorrupt(version uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.deps.Now()
	switch {
	case err == nil:
		l.corruptToldAt = time.Time{}
	case l.corruptToldAt.IsZero() || now.Sub(l.corruptToldAt) >= corruptRepeat:
		l.corruptToldAt = now
		l.log.Emit(event.LeaseRecordCorrupt, zap.Uint64("version", version), zap.Error(err))
	}
}

func (l *Lease) conds(r decide.Rows, era uint64) []store.Cond {
	return []store.Cond{{Key: l.grantKey(era), Version: r.Grant}, {Key: l.heartbeatKey(era), Version: r.Heartbeat}}
}

// grantKey returns the key of the grant row in an era of the store. A commit of an earlier
// era may take effect late, on versions that were given out again: it finds other rows.
func (l *Lease) grantKey(era uint64) string {
	if era == 0 {
		return Prefix + l.cfg.Name
	}
	return Prefix + l.cfg.Name + eraSeparator + strconv.FormatUint(era, 10)
}

func (l *Lease) heartbeatKey(era uint64) string { return l.grantKey(era) + heartbeatSuffix }

func (l *Lease) currentHeld() (decide.Held, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		return decide.Held{}, false
	}
	return *l.held, true
}

func (l *Lease) setHeld(h *decide.Held) {
	l.mu.Lock()
	if l.held == nil && h != nil {
		l.acquired.Notify()
	}
	l.held, l.lapsedEpoch = h, 0
	l.mu.Unlock()
}

// Lapsed reports whether, as far as this process knows, it was the last holder
// and its lease expired without a renewal, as happens during a store outage.
func (l *Lease) Lapsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lastHeld := l.lapsedEpoch
	if l.held != nil && l.cfg.Policy.Remaining(*l.held, l.deps.Now()) <= 0 {
		lastHeld = l.held.Record.Epoch
	}
	return lastHeld > 0 && l.observed.Record.Epoch <= lastHeld
}

func (l *Lease) lose(why string, lapsed bool) {
	held, _ := l.currentHeld()
	l.setHeld(nil)
	if lapsed {
		l.mu.Lock()
		l.lapsedEpoch = held.Record.Epoch
		l.mu.Unlock()
	}
	l.log.Emit(event.LeaseLost, zap.Uint64("epoch", held.Record.Epoch), zap.String("why", why))
}
