// Package planner executes placement for one pool under a lease: it keeps the
// memory ledger in the table service, asks core/place what to do, and sends
// the orders. Each act is checked against the lease right before it begins,
// and each order is in the ledger before it is sent.
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

// Lease is the right to plan a pool. Epoch is that of the present term, 0
// while it is not held. Valid is judged on the monotonic clock, leaves a margin
// for an act that begins now, and holds for the term of one epoch only: a host
// that lost its lease and got it again in the middle of a plan must not finish
// that plan, since another may have planned in between.
type Lease interface {
	Epoch() uint64
	Valid(epoch uint64) bool
}

// OrderSender sends orders to engines. An error leaves the order in doubt.
type OrderSender interface {
	Send(ctx context.Context, upstream string, o engineapi.Order) (engineapi.OrderAnswer, error)
}

// ObservedReport is the newest report of an upstream and when it was read.
type ObservedReport struct {
	Report engineapi.Report
	Read   time.Time
	Down   bool // for long enough that it is not one lost report
}

// Inputs is what the planner reads besides the platform. View gives the
// configuration in force and the demand; it must not change afterwards.
type Inputs interface {
	Reports() []ObservedReport
	View() View
}

// View is the configuration and preset in force, and the demand.
type View struct {
	Config *config.Config
	Preset config.Preset
	Demand map[place.Key]place.Demand
}

// Config tunes a planner. Zero fields take their defaults.
type Config struct {
	Pool               string
	Interval           time.Duration // between two plans
	Bounds             ledger.Bounds
	MaxConcurrentSends int           // orders sent side by side
	MoveCooldown       time.Duration // see place.Snapshot
}

// Deps are the parts that a planner works with.
type Deps struct {
	Lease   Lease
	Table   store.Table
	Weights store.Weights
	Orders  OrderSender
	Inputs  Inputs
	Log     *event.Log
	Now     func() time.Time // nil: time.Now
}

// Tuning, with the reasons.
const (
	defaultInterval        = time.Second     // about the pace of reports
	commitTimeout          = 2 * time.Second // well below the sending window, so that a slow store costs no window
	sendTimeout            = 3 * time.Second // of one order; a silent engine must not stop the plan
	defaultConcurrentSends = 16
	moveBurst              = 2 // elective moves that may come at once; more would be a storm after a switch
)

// Planner plans one pool. Run belongs to one goroutine; DryRun and Status may be
// called from any.
type Planner struct {
	cfg        Config
	deps       Deps
	ledger     *poolLedger
	moveBudget *rate.Limiter
	upstreams  map[string]upstreamStatus // by upstream
	lastMove   map[place.Key]time.Time
	sendStates map[string]sendState // by order id, while its charge is in the books

	loadGrants map[string]reservedOrder // loads that the weight store was asked for, by order id

	mu           sync.Mutex
	status       Status
	lastSnapshot *place.Snapshot // that the last plan saw; never changed
}

// upstreamStatus counts the reports of an upstream's present incarnation.
type upstreamStatus struct {
	incarnation string
	sequence    uint64
	reportCount int
	draining    bool
	down        bool
}

// Status is what operators see of a planner.
type Status struct {
	Epoch        uint64
	LoadOrders   int // orders to load, sent in all
	UnloadOrders int
	Unconfirmed  int // charges in the books
	Deferred     int
	Waits        []place.Wait
}

// New makes a planner. It does nothing until Run or Step.
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

// Step makes one plan and begins its moves. Without a valid lease it does
// nothing.
func (p *Planner) Step(ctx context.Context) {
	epoch := p.deps.Lease.Epoch()
	if !p.deps.Lease.Valid(epoch) {
		p.ledger = nil // whoever holds the lease now may have changed them
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
	p.sendAll(ctx, append(p.ordersToResend(now), p.reserveAll(ctx, decision.Moves)...))
	p.updateStatus(snapshot, decision)
}

// Status tells the state of the planner.
func (p *Planner) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// DryRun forecasts what another preset would do, from what the last plan saw.
// false: this host has not planned the pool yet. It may be called from any
// goroutine.
func (p *Planner) DryRun(preset config.Preset) (place.Forecast, bool) {
	p.mu.Lock()
	snapshot := p.lastSnapshot
	p.mu.Unlock()
	if snapshot == nil {
		return place.Forecast{}, false
	}
	return place.DryRun(snapshot, preset, p.deps.Now()), true
}

// takeOver reads the books when the lease is new, under a new epoch row, so
// that a holder of an earlier lease cannot write them any more.
func (p *Planner) takeOver(ctx context.Context, epoch uint64) bool {
	if p.ledger != nil && p.ledger.epoch == epoch {
		return true
	}
	l, err := openPoolLedger(ctx, p.deps.Table, p.cfg.Pool, epoch)
	if err != nil {
		p.deps.Log.Emit(event.LedgerUnread, zap.String("pool", p.cfg.Pool), zap.Error(err))
		return false
	}
	p.ledger = l
	p.sendStates = map[string]sendState{}
	p.moveBudget.SetLimitAt(p.deps.Now(), 0)
	p.moveBudget.AllowN(p.deps.Now(), moveBurst) // a new holder begins without moves to spend
	p.restartCooldowns()
	p.deps.Log.Emit(event.PlannerTookOver, zap.String("pool", p.cfg.Pool), zap.Uint64("epoch", epoch))
	return true
}

// restartCooldowns counts every model as moved just now: what the holder before did
// is not known, and its moves may not show in the demand yet. A pool without
// books has no holder before: there the models start.
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
