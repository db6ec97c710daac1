package planner

import (
	"context"
	"errors"
	"strconv"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/core/place"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
	standin "peridotpier.example/standin/platform"
)

var errAnswerLost = errors.New("no answer")

// testEngine is an engine that counts the memory of what is resident.
type testEngine struct {
	name          string
	fencing       config.Fencing
	capacity      int
	incarnation   int
	sequence      uint64
	epoch         uint64
	residents     map[ledger.Artifact]int
	overcommitted bool
	draining      bool
}

func (e *testEngine) id() string { return e.name + "." + strconv.Itoa(e.incarnation) }

func (e *testEngine) restart() {
	e.incarnation++
	e.sequence, e.epoch, e.residents = 0, 0, map[ledger.Artifact]int{}
}

func (e *testEngine) execute(o engineapi.Order) engineapi.OrderAnswer {
	if e.fencing == config.FencingChecked {
		if o.Epoch < e.epoch || o.Incarnation != e.id() {
			return engineapi.OrderAnswer{Reason: "old_epoch", Incarnation: e.id()}
		}
		e.epoch = o.Epoch
	}
	t := ledger.Artifact{Model: o.Model, Adapter: o.Adapter, Version: o.Version}
	if o.Kind == engineapi.OrderUnload || o.Kind == engineapi.OrderUnloadAdapter {
		delete(e.residents, t)
		return engineapi.OrderAnswer{Accepted: true, Incarnation: e.id()}
	}
	e.residents[t] = o.MemoryMB
	e.overcommitted = e.overcommitted || e.used() > e.capacity
	return engineapi.OrderAnswer{Accepted: true, Incarnation: e.id()}
}

func (e *testEngine) used() int {
	sum := 0
	for _, mb := range e.residents {
		sum += mb
	}
	return sum
}

func (e *testEngine) report() engineapi.Report {
	e.sequence++
	r := engineapi.Report{Upstream: e.name, Incarnation: e.id(), Sequence: e.sequence, Epoch: e.epoch, UsedMB: e.used(), Draining: e.draining}
	for t, mb := range e.residents {
		r.Residents = append(r.Residents, engineapi.Resident{Model: t.Model, Adapter: t.Adapter, Version: t.Version, State: engineapi.StateReady, MemoryMB: mb})
	}
	return r
}

// testTable is a table service with faults.
type testTable struct {
	store.Table
	down        bool
	lostAnswers int // number of next commits that take effect but lose their answer
	commits     int
}

func (t *testTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if t.down {
		return 0, store.ErrUnavailable
	}
	v, err := t.Table.Commit(ctx, txn)
	t.commits++
	if t.lostAnswers > 0 {
		t.lostAnswers--
		return 0, store.ErrUnconfirmed
	}
	return v, err
}

func (t *testTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if t.down {
		return nil, store.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

type testLease struct {
	epoch uint64
	valid bool
}

func (l *testLease) Epoch() uint64           { return l.epoch }
func (l *testLease) Valid(epoch uint64) bool { return l.valid && epoch == l.epoch }

// testWorld is a site with its engines, the network to them and the platform. It
// implements Inputs, OrderSender and store.Weights.
type testWorld struct {
	engines   map[string]*testEngine
	table     *testTable
	view      View
	reports   map[string]ObservedReport
	network   func(o engineapi.Order) (deliver, answer bool) // nil: all orders are delivered and answered
	sent      []sentOrder
	grantWait time.Duration // wait that the weight store answers
}

type sentOrder struct {
	upstream string
	engineapi.Order
	at time.Time
}

// newTestWorld returns a site with three engines, each with a capacity of 100 MB.
func newTestWorld(f config.Fencing, models ...config.Model) *testWorld {
	w := &testWorld{engines: map[string]*testEngine{}, table: &testTable{Table: standin.NewTable()}, reports: map[string]ObservedReport{}}
	c := &config.Config{Models: models, Pools: []config.Pool{{Name: "p", Kind: config.KindEngine}},
		WeightStore: config.WeightStore{LoadsPerSecond: 1, Concurrent: 16}}
	for _, name := range []string{"u1", "u2", "u3"} {
		e := &testEngine{name: name, fencing: f, capacity: 100}
		e.restart()
		w.engines[name] = e
		c.Upstreams = append(c.Upstreams, config.Upstream{Name: name, Pool: "p", MemoryMB: 100, MaxBatch: 8, Fencing: f})
	}
	w.view = View{Config: c, Preset: config.Preset{SpreadThreshold: 0.7, MovesPerMinute: 6}, Demand: map[place.Key]place.Demand{}}
	w.readReports()
	return w
}

func testModel(name, version string, mb int) config.Model {
	return config.Model{Name: name, Pool: "p", Version: version, MemoryMB: mb, MinReplicas: 1}
}

// planner returns a planner that sends its orders one by one, so that a seed gives
// one history.
func (w *testWorld) planner(l Lease) *Planner {
	return New(Config{Pool: "p", MaxConcurrentSends: 1}, Deps{Lease: l, Table: w.table, Weights: w, Orders: w, Inputs: w})
}

func (w *testWorld) readReports() {
	for name, e := range w.engines {
		w.reports[name] = ObservedReport{Report: e.report(), Read: time.Now()}
	}
}

// steps runs one step a second of each planner in turn, for so many seconds.
func (w *testWorld) steps(ctx context.Context, seconds int, planners ...*Planner) {
	for range seconds {
		w.readReports()
		for _, p := range planners {
			p.Step(ctx)
		}
		time.Sleep(time.Second)
	}
}

func (w *testWorld) AcquireLoad(context.Context, string) (time.Duration, error) {
	return w.grantWait, nil
}
func (w *testWorld) ReleaseLoad(context.Context, string) error { return nil }
func (w *testWorld) View() View                                { return w.view }

func (w *testWorld) Reports() []ObservedReport {
	var out []ObservedReport
	for _, name := range []string{"u1", "u2", "u3"} {
		out = append(out, w.reports[name])
	}
	return out
}

func (w *testWorld) Send(_ context.Context, upstream string, o engineapi.Order) (engineapi.OrderAnswer, error) {
	w.sent = append(w.sent, sentOrder{upstream, o, time.Now()})
	deliver, answer := true, true
	if w.network != nil {
		deliver, answer = w.network(o)
	}
	var a engineapi.OrderAnswer
	if deliver {
		a = w.engines[upstream].execute(o)
	}
	if !answer {
		return engineapi.OrderAnswer{}, errAnswerLost
	}
	return a, nil
}

func (w *testWorld) overcommitted() bool {
	for _, e := range w.engines {
		if e.overcommitted {
			return true
		}
	}
	return false
}

// residentCount returns the number of engines on which a model is resident, in any
// version.
func (w *testWorld) residentCount(model string) int {
	n := 0
	for _, e := range w.engines {
		for t := range e.residents {
			if t.Model == model && t.Adapter == "" {
				n++
				break
			}
		}
	}
	return n
}
