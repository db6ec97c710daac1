package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/residency"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/pace"
)

const (
	// orderBound is how long an order may take to be answered. A lease must
	// last longer than that when the order is sent.
	orderBound = 600 * time.Millisecond
	// reportLag is how old an upstream's report may be: it is not asked sooner
	// than this after an order whose fate it should show.
	reportLag = 300 * time.Millisecond
	// describedLag is how long what an order changed is believed against the
	// upstream's description in the store, which comes with its heartbeats.
	describedLag = 2500 * time.Millisecond
	// defaultAdapterLoad is how long an adapter's load takes on the largest models.
	defaultAdapterLoad = 32 * time.Millisecond
)

// unit is one upstream as orders see it. ordering is held over the sending of an
// order and is taken before mu.
type unit struct {
	c      *Coordinator
	entry  *fleet.Entry
	engine *deploy.Engine

	ordering chan struct{} // holds a token while an order is given
	revision atomic.Uint64 // of the coordinator, at this unit's last change

	mu        sync.Mutex
	book      *residency.Record
	changedAt time.Time // of the last order or report
	taken     time.Time // arrival of the description that was entered last
	moving    *moving   // the change of models that is under way; nil: none
	rested    time.Time // until when no move begins, after one that came to nothing
	asked     time.Time // when the end of a former holder's order was last asked for
	told      told      // as of the last change
}

// newUnit opens the book of an upstream.
func newUnit(c *Coordinator, e *fleet.Entry, engine *deploy.Engine, now time.Time) *unit {
	described, _ := e.Description()
	return &unit{c: c, entry: e, engine: engine, ordering: make(chan struct{}, 1), book: residency.New(engine, &described, now)}
}

// told is what hosts are told of an upstream.
type told struct {
	residents []deploy.Resident
	coming    string    // model that is being loaded, or will be; "": none
	loads     time.Time // since when
}

func (t told) equal(o told) bool {
	return t.coming == o.coming && t.loads.Equal(o.loads) && slices.EqualFunc(t.residents, o.residents, deploy.Resident.Equal)
}

// news says whether hosts were told something else last.
func (u *unit) news() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := told{residents: u.book.ReadyResidents()}
	if u.moving != nil {
		now.coming, now.loads = u.moving.Load, u.moving.loads
	}
	if now.equal(u.told) {
		return false
	}
	u.told = now
	return true
}

// lockOrders waits until no other order is being given, and says no when ctx
// ends before: callers wait here, each for its own time.
func (u *unit) lockOrders(ctx context.Context) bool {
	select {
	case u.ordering <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *unit) unlockOrders() { <-u.ordering }

// describe enters the upstream's newest description, unless it may be older
// than what is known.
func (u *unit) describe(now time.Time) (changed bool) {
	d, at := u.entry.Description()
	u.mu.Lock()
	defer u.mu.Unlock()
	if !at.After(u.taken) || at.Sub(u.changedAt) < describedLag {
		return false
	}
	u.taken = at
	u.book.ApplyDescription(d.Residents, now)
	return true
}

// send gives one order, whose answer may take as long as bound, and enters its outcome.
func (u *unit) send(ctx context.Context, o residency.Order, why string, bound time.Duration) error {
	c := u.c
	if err := c.mayOrderTo(u, bound); err != nil {
		return err
	}
	if !u.usable() { // it leaves, or has started again and has another account
		return errNoUpstream
	}
	described, _ := u.entry.Description()
	t := c.authority()
	u.mu.Lock()
	u.book.MarkSent(o, c.now())
	u.mu.Unlock()
	c.ordering(u.entry.ID())
	c.changed(u)
	c.deps.Log.Emit(event.OrderSent, u.fields(o, zap.String("why", why), zap.Uint64("epoch", t.Epoch))...)
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	v, err := c.deps.Orders.Order(ctx, &described, o, t)
	return u.enter(o, v, err)
}

func (u *unit) fields(o residency.Order, more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String(event.FieldPeer, u.entry.ID()), zap.Stringer("operation", o.Op), zap.String("model", o.Model),
		zap.String("adapter", o.Adapter), zap.Uint64("expected", o.Expected)}, more...)
}

// errRefused: the upstream did not take the order.
var errRefused = errors.New("order refused")

// enter writes the outcome of an order into the book.
func (u *unit) enter(o residency.Order, v Verdict, err error) error {
	now := u.c.now()
	u.mu.Lock()
	u.changedAt = now
	switch {
	case err != nil:
		u.book.MarkUnanswered(o, now)
	case v == Accepted:
		u.book.MarkAccepted(o, false, now)
	case v == Done:
		u.book.MarkAccepted(o, true, now)
	default:
		u.book.MarkRefused(o)
	}
	u.mu.Unlock()
	u.c.changed(u)
	switch {
	case err != nil:
		u.c.deps.Log.Emit(event.OrderUnanswered, u.fields(o, zap.Error(err))...)
		return err
	case v == Accepted || v == Done:
		return nil
	}
	if v == Replaced {
		u.entry.MarkReplaced()
	}
	u.c.deps.Log.Emit(event.OrderRejected, u.fields(o, zap.Stringer("verdict", v))...)
	return errRefused
}

// settle asks the upstream for its report and enters it.
func (u *unit) settle(ctx context.Context) error {
	u.mu.Lock()
	since := u.c.now().Sub(u.changedAt)
	u.mu.Unlock()
	if since < reportLag && !pace.Sleep(ctx, reportLag-since) {
		return ctx.Err()
	}
	described, _ := u.entry.Description()
	ctx, cancel := context.WithTimeout(ctx, orderBound)
	defer cancel()
	r, err := u.c.deps.Orders.Report(ctx, &described)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.book.Reconcile(r, u.c.now())
	u.mu.Unlock()
	u.c.changed(u)
	return nil
}

// usable says whether the upstream may get orders and work.
func (u *unit) usable() bool { return u.entry.Usable() }

// doubts are the orders sent to the upstream that may still be carried out.
func (u *unit) doubts(now time.Time) []residency.UnconfirmedOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.book.Unconfirmed(now)
}

// holds says whether requests may be sent there for a model and adapter.
func (u *unit) holds(model, adapter string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.book.IsReady(model, adapter)
}

// usedBy notes what callers asked of a host.
func (u *unit) usedBy(d *coordpb.Demand, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.book.MarkUsed(d.Model, d.Adapter, now)
}
