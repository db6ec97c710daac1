// Package planner executes placement for one pool of engines under a lease: it
// keeps the memory ledger in the table service, asks core/place for the moves and
// sends an order for each. It checks the lease right before each reservation and
// each order, and an order is in the ledger before it is sent.
package planner

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/core/place"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
)

// Lease is the right to plan a pool. Epoch returns the epoch of the current term,
// or 0 while the lease is not held. Valid reports whether the lease is held in the
// given epoch with enough time left for one order or commit, by the monotonic
// clock. It holds for one epoch only: a host that lost its lease and acquired it
// again in the middle of a plan must not finish that plan, because another host may
// have planned in between.
type Lease interface {
	Epoch() uint64
	Valid(epoch uint64) bool
}

// OrderSender sends orders to engines. After an error the order is unconfirmed: it
// may have been executed.
type OrderSender interface {
	Send(ctx context.Context, upstream string, o engineapi.Order) (engineapi.OrderAnswer, error)
}

// ObservedReport is the newest report of an upstream, with the time at which this
// host read it.
type ObservedReport struct {
	Report       engineapi.Report
	Read         time.Time
	Disconnected bool // no contact for long enough that more than one report is missing
}

// Inputs provides what the planner reads apart from the platform's services. The
// view that View returns must not change afterwards.
type Inputs interface {
	Reports() []ObservedReport
	View() View
}

// View is the configuration and the preset in force, and the current demand.
type View struct {
	Config *config.Config
	Preset config.Preset
	Demand map[place.Key]place.Demand
}

// Config configures a planner. Zero fields get their defaults.
type Config struct {
	Pool               string
	Interval           time.Duration // between two plans
	Bounds             ledger.Bounds
	MaxConcurrentSends int           // orders in progress at once
	MoveCooldown       time.Duration // as in place.Snapshot
}

// Deps are the dependencies of a planner.
type Deps struct {
	Lease   Lease
	Table   store.Table
	Weights store.Weights
	Orders  OrderSender
	Inputs  Inputs
	Log     *event.Log
	Now     func() time.Time // nil: time.Now
}

// Defaults, timeouts and limits.
const (
	defaultInterval        = time.Second     // about the interval of reports
	commitTimeout          = 2 * time.Second // well below the send window, so that a slow table service does not use it up
	sendTimeout            = 3 * time.Second // of one order; an unresponsive engine must not stop the plan
	defaultConcurrentSends = 16
	moveBurst              = 2 // elective moves that may be made at once; with more, a switch of presets would cause a burst of loads
)

// Planner plans one pool. Run and Step must be called from one goroutine; DryRun
// and Status may be called from any.
type Planner struct {
	cfg        Config
	deps       Deps
	ledger     *poolLedger // nil until this host took it over under its current lease
	moveBudget *rate.Limiter
	upstreams  map[string]upstreamStatus // by name of the upstream
	lastMove   map[place.Key]time.Time
	sendStates map[string]sendState // by order id, while its charge is in the ledger

	loadGrants map[string]reservedOrder // loads granted by the weight store, by order id

	mu           sync.Mutex
	status       Status
	lastSnapshot *place.Snapshot // of the last plan; never changed
}

// upstreamStatus is what the reports of an upstream's current incarnation show,
// apart from its memory.
type upstreamStatus struct {
	incarnation  string
	sequence     uint64
	reportCount  int
	draining     bool
	disconnected bool
}

// Status is the state of a planner.
type Status struct {
	Epoch        uint64
	LoadOrders   int // reserved since New
	UnloadOrders int
	Unconfirmed  int // charges in the ledger
	Deferred     int
	Waits        []place.Wait
}

// New returns a planner, which does nothing until Run or Step is called.
func New(cfg Config, deps Deps) *Planner {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.MaxConcurrentSends <= 0 {
		cfg.MaxConcurrentSends = defaultConcurrentSends
	}
	if cfg.Bounds == (ledger.Bounds{}) {
		cfg.Bounds = ledger.DefaultBounds()
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	if deps.Log == nil {
		deps.Log = event.NewLog(nil)
	}
	return &Planner{cfg: cfg, deps: deps, moveBudget: rate.NewLimiter(0, moveBurst), upstreams: map[string]upstreamStatus{},
		lastMove: map[place.Key]time.Time{}, sendStates: map[string]sendState{}, loadGrants: map[string]reservedOrder{}}
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	tick := time.NewTicker(p.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.Step(ctx)
		}
	}
}

// Step makes one plan and begins its moves. It does nothing without a valid lease.
func (p *Planner) Step(ctx context.Context) {
	epoch := p.deps.Lease.Epoch()
	if !p.deps.Lease.Valid(epoch) {
		p.ledger = nil // another lease holder may have changed the rows
		return
	}
	if !p.takeOver(ctx, epoch) {
		return
	}
	view := p.deps.Inputs.View()
	if !p.applyReports(ctx, view) {
		p.ledger = nil // a later planner has taken over
		return
	}
	p.releaseLoadGrants(ctx)
	now := p.deps.Now()
	snapshot := p.snapshot(view, now)
	decision := place.Plan(snapshot, now)
	if now.Before(p.ledger.heldUntil) { // orders may be executed that a restored table has forgotten
		decision.Moves = nil
	}
	p.sendAll(ctx, append(p.ordersToResend(now), p.reserveAll(ctx, decision.Moves)...))
	p.updateStatus(snapshot, decision)
}

// Status returns the state of the planner.
func (p *Planner) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// DryRun forecasts the moves under another preset, from the snapshot of the last
// plan. It returns false if this host has not planned the pool yet.
func (p *Planner) DryRun(preset config.Preset) (place.Forecast, bool) {
	p.mu.Lock()
	snapshot := p.lastSnapshot
	p.mu.Unlock()
	if snapshot == nil {
		return place.Forecast{}, false
	}
	return place.DryRun(snapshot, preset, p.deps.Now()), true
}

// takeOver reads the ledger if the lease is new, after writing the epoch row, so
// that the holder of an earlier lease cannot write the ledger any more. It reports
// whether this planner owns the ledger.
func (p *Planner) takeOver(ctx context.Context, epoch uint64) bool {
	if p.ledger != nil && p.ledger.epoch == epoch {
		return true
	}
	l, err := openPoolLedger(ctx, p.deps.Table, p.cfg.Pool, epoch, p.deps.Now().Add(p.cfg.Bounds.OrderExpiry()))
	if err != nil {
		p.deps.Log.Emit(event.LedgerReadFailed, zap.String("pool", p.cfg.Pool), zap.Error(err))
		return false
	}
	p.ledger = l
	p.sendStates = map[string]sendState{}
	p.moveBudget.SetLimitAt(p.deps.Now(), 0)
	p.moveBudget.AllowN(p.deps.Now(), moveBurst) // a new lease holder begins with an empty budget
	p.restartCooldowns()
	p.deps.Log.Emit(event.PlannerTookOver, zap.String("pool", p.cfg.Pool), zap.Uint64("epoch", epoch), zap.Duration("orders_held", max(l.heldUntil.Sub(p.deps.Now()), 0)))
	return true
}

// restartCooldowns treats every model and adapter as moved just now: the moves of
// the former lease holder are not known and may not show in the demand yet. A pool
// without ledger rows had no lease holder before, and its models may be loaded at
// once.
func (p *Planner) restartCooldowns() {
	if len(p.ledger.rows) == 0 {
		return
	}
	now, view := p.deps.Now(), p.deps.Inputs.View()
	for _, m := range view.Config.Models {
		p.lastMove[place.Key{Model: m.Name}] = now
	}
	for _, a := range view.Config.Adapters {
		p.lastMove[place.Key{Model: a.Model, Adapter: a.Name}] = now
	}
}

func (p *Planner) updateStatus(s *place.Snapshot, d place.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSnapshot = s
	p.status.Epoch, p.status.Deferred, p.status.Waits = p.ledger.epoch, d.Deferred, d.Waits
	p.status.Unconfirmed = 0
	for _, r := range p.ledger.rows {
		p.status.Unconfirmed += len(r.row.Charges)
	}
}

func newOpID() string { return uuid.NewString() }
