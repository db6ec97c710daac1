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
	defaultEvery  = time.Second     // about the pace of reports
	commitTimeout = 2 * time.Second // well below the sending window, so that a slow store costs no window
	sendTimeout   = 3 * time.Second // of one order; a silent engine must not stop the plan
	defaultAtOnce = 16
	moveBurst     = 2 // elective moves that may come at once; more would be a storm after a switch
)

// Planner plans one pool. Run belongs to one goroutine; DryRun and Status may be
// called from any.
type Planner struct {
	cfg    Config
	deps   Deps
	books  *books
	budget *rate.Limiter
	seen   map[string]sighting // by upstream
	last   map[place.Key]time.Time
	sent   map[string]sendState // by order id, while its charge is in the books

	grants map[string]task // loads that the weight store was asked for, by order id

	mu     sync.Mutex
	status Status
	shot   *place.Snapshot // that the last plan saw; never changed
}

// sighting counts the reports of an upstream's present incarnation.
type sighting struct {
	incarnation string
	sequence    uint64
	reports     int
	leaving     bool
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
		cfg.Interval = defaultEvery
	}
	if cfg.MaxConcurrentSends <= 0 {
		cfg.MaxConcurrentSends = defaultAtOnce
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
	return &Planner{cfg: cfg, deps: deps, budget: rate.NewLimiter(0, moveBurst), seen: map[string]sighting{},
		last: map[place.Key]time.Time{}, sent: map[string]sendState{}, grants: map[string]task{}}
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
		p.books = nil // whoever holds the lease now may have changed them
		return
	}
	if !p.takeOver(ctx, epoch) {
		return
	}
	view := p.deps.Inputs.View()
	if !p.observe(ctx, view) {
		p.books = nil // a later planner has taken over
		return
	}
	p.releaseGrants(ctx)
	now := p.deps.Now()
	snapshot := p.snapshot(view, now)
	decision := place.Plan(snapshot, now)
	p.sendAll(ctx, append(p.unanswered(now), p.reserveAll(ctx, decision.Moves)...))
	p.report(snapshot, decision)
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
	shot := p.shot
	p.mu.Unlock()
	if shot == nil {
		return place.Forecast{}, false
	}
	return place.DryRun(shot, preset, p.deps.Now()), true
}

// takeOver reads the books when the lease is new, under a new epoch row, so
// that a holder of an earlier lease cannot write them any more.
func (p *Planner) takeOver(ctx context.Context, epoch uint64) bool {
	if p.books != nil && p.books.epoch == epoch {
		return true
	}
	b, err := openBooks(ctx, p.deps.Table, p.cfg.Pool, epoch)
	if err != nil {
		p.deps.Log.Emit(event.LedgerReadFailed, zap.String("pool", p.cfg.Pool), zap.Error(err))
		return false
	}
	p.books = b
	p.sent = map[string]sendState{}
	p.budget.SetLimitAt(p.deps.Now(), 0)
	p.budget.AllowN(p.deps.Now(), moveBurst) // a new holder begins without moves to spend
	p.settleAnew()
	p.deps.Log.Emit(event.PlannerTookOver, zap.String("pool", p.cfg.Pool), zap.Uint64("epoch", epoch))
	return true
}

// settleAnew counts every model as moved just now: what the holder before did
// is not known, and its moves may not show in the demand yet. A pool without
// books has no holder before: there the models start.
func (p *Planner) settleAnew() {
	if len(p.books.rows) == 0 {
		return
	}
	now, view := p.deps.Now(), p.deps.Inputs.View()
	for _, m := range view.Config.Models {
		p.last[place.Key{Model: m.Name}] = now
	}
	for _, a := range view.Config.Adapters {
		p.last[place.Key{Model: a.Model, Adapter: a.Name}] = now
	}
}

func (p *Planner) report(s *place.Snapshot, d place.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shot = s
	p.status.Epoch, p.status.Deferred, p.status.Waits = p.books.epoch, d.Deferred, d.Waits
	p.status.Unconfirmed = 0
	for _, r := range p.books.rows {
		p.status.Unconfirmed += len(r.row.Charges)
	}
}

func newOp() string { return uuid.NewString() }
