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

var errLost = errors.New("no answer")

// testEngine is an engine that counts its own memory.
type testEngine struct {
	name        string
	fencing     config.Fencing
	capacity    int
	incarnation int
	sequence    uint64
	epoch       uint64
	held        map[ledger.Artifact]int
	over        bool
	leaving     bool
}

func (e *testEngine) id() string { return e.name + "." + strconv.Itoa(e.incarnation) }

func (e *testEngine) restart() {
	e.incarnation++
	e.sequence, e.epoch, e.held = 0, 0, map[ledger.Artifact]int{}
}

func (e *testEngine) carryOut(o engineapi.Order) engineapi.OrderAnswer {
	if e.fencing == config.FencingChecked {
		if o.Epoch < e.epoch || o.Incarnation != e.id() {
			return engineapi.OrderAnswer{Reason: "old_epoch", Incarnation: e.id()}
		}
		e.epoch = o.Epoch
	}
	t := ledger.Artifact{Model: o.Model, Adapter: o.Adapter, Version: o.Version}
	if o.Kind == engineapi.OrderUnload || o.Kind == engineapi.OrderUnloadAdapter {
		delete(e.held, t)
		return engineapi.OrderAnswer{Accepted: true, Incarnation: e.id()}
	}
	e.held[t] = o.MemoryMB
	e.over = e.over || e.used() > e.capacity
	return engineapi.OrderAnswer{Accepted: true, Incarnation: e.id()}
}

func (e *testEngine) used() int {
	sum := 0
	for _, mb := range e.held {
		sum += mb
	}
	return sum
}

func (e *testEngine) report() engineapi.Report {
	e.sequence++
	r := engineapi.Report{Upstream: e.name, Incarnation: e.id(), Sequence: e.sequence, Epoch: e.epoch, UsedMB: e.used(), Draining: e.leaving}
	for t, mb := range e.held {
		r.Residents = append(r.Residents, engineapi.Resident{Model: t.Model, Adapter: t.Adapter, Version: t.Version, State: engineapi.StateReady, MemoryMB: mb})
	}
	return r
}

// testTable is the table service with faults.
type testTable struct {
	store.Table
	down    bool
	inDoubt int // so many commits take effect but lose their answer
	commits int
}

func (t *testTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if t.down {
		return 0, store.ErrUnavailable
	}
	v, err := t.Table.Commit(ctx, txn)
	t.commits++
	if t.inDoubt > 0 {
		t.inDoubt--
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

// testWorld is a site with its engines, the network to them and the platform.
type testWorld struct {
	engines map[string]*testEngine
	table   *testTable
	view    View
	reports map[string]ObservedReport
	net     func(o engineapi.Order) (deliver, answer bool) // nil: all is delivered and answered
	sent    []sentOrder
	wait    time.Duration // of the weight store
}

type sentOrder struct {
	upstream string
	engineapi.Order
	at time.Time
}

// newTestWorld has capacity for 100 on each of three engines.
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
	w.readAll()
	return w
}

func testModel(name, version string, mb int) config.Model {
	return config.Model{Name: name, Pool: "p", Version: version, MemoryMB: mb, MinReplicas: 1}
}

// planner sends its orders one by one, so that a seed gives one history.
func (w *testWorld) planner(l Lease) *Planner {
	return New(Config{Pool: "p", MaxConcurrentSends: 1}, Deps{Lease: l, Table: w.table, Weights: w, Orders: w, Inputs: w})
}

func (w *testWorld) readAll() {
	for name, e := range w.engines {
		w.reports[name] = ObservedReport{Report: e.report(), Read: time.Now()}
	}
}

// steps runs planners side by side for so many seconds.
func (w *testWorld) steps(ctx context.Context, seconds int, planners ...*Planner) {
	for range seconds {
		w.readAll()
		for _, p := range planners {
			p.Step(ctx)
		}
		time.Sleep(time.Second)
	}
}

func (w *testWorld) AcquireLoad(context.Context, string) (time.Duration, error) { return w.wait, nil }
func (w *testWorld) ReleaseLoad(context.Context, string) error                  { return nil }
func (w *testWorld) View() View                                                 { return w.view }

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
	if w.net != nil {
		deliver, answer = w.net(o)
	}
	var a engineapi.OrderAnswer
	if deliver {
		a = w.engines[upstream].carryOut(o)
	}
	if !answer {
		return engineapi.OrderAnswer{}, errLost
	}
	return a, nil
}

func (w *testWorld) over() bool {
	for _, e := range w.engines {
		if e.over {
			return true
		}
	}
	return false
}

// holders counts the engines that hold a model, in any version.
func (w *testWorld) holders(model string) int {
	n := 0
	for _, e := range w.engines {
		for t := range e.held {
			if t.Model == model && t.Adapter == "" {
				n++
				break
			}
		}
	}
	return n
}
