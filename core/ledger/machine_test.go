package ledger_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
	"peridotpier.example/core/place"
)

const engineMB = 100

// engine simulates an engine that checks its own memory, so that the test does not
// rely on the ledger for it.
type engine struct {
	fencing     config.Fencing
	incarnation int
	sequence    uint64
	epoch       uint64
	memory      map[ledger.Artifact]int
	maxUsedMB   int // maximum memory in use at any time
}

// orderCopy is one copy of an order in the network.
type orderCopy struct {
	ledger.Charge
	incarnation string
	sent        time.Time
}

// agedReport is a report with the time at which it was made.
type agedReport struct {
	ledger.Report
	taken time.Time
}

func (e *engine) name() string { return "i" + strconv.Itoa(e.incarnation) }

func (e *engine) restart() {
	e.incarnation++
	e.sequence, e.epoch, e.memory = 0, 0, map[ledger.Artifact]int{}
}

func (e *engine) carryOut(o orderCopy) {
	if e.fencing == config.FencingChecked {
		if o.Fence < e.epoch || o.incarnation != e.name() {
			return
		}
		e.epoch = o.Fence
	}
	if o.Kind == ledger.Unload {
		delete(e.memory, o.Artifact)
		return
	}
	e.memory[o.Artifact] = o.MemoryMB
	sum := 0
	for _, mb := range e.memory {
		sum += mb
	}
	e.maxUsedMB = max(e.maxUsedMB, sum)
}

func (e *engine) report(now time.Time) agedReport {
	e.sequence++
	rep := ledger.Report{Incarnation: e.name(), Sequence: e.sequence, Epoch: e.epoch}
	for t, mb := range e.memory {
		rep.Residents = append(rep.Residents, ledger.Resident{Artifact: t, State: ledger.Ready, MemoryMB: mb})
		rep.UsedMB += mb
	}
	return agedReport{rep, now}
}

// world is the row of one upstream, its engine and the network between them.
type world struct {
	now     time.Time
	bounds  ledger.Bounds
	row     ledger.Row
	engine  engine
	orders  []orderCopy // may arrive in any order, more than once or never
	reports []agedReport
	ops     int
}

func newWorld(f config.Fencing) *world {
	w := &world{now: time.Unix(1_000_000, 0), bounds: ledger.DefaultBounds(), row: ledger.New("u", engineMB, f), engine: engine{fencing: f}}
	w.engine.restart()
	w.reports = append(w.reports, w.engine.report(w.now))
	return w
}

// reserve charges an order to the row and puts copies of it into the network.
func (w *world) reserve(change ledger.Change, copies int) {
	w.ops++
	next, c, err := w.row.Reserve(w.now, w.bounds, 1, strconv.Itoa(w.ops), change)
	if err != nil {
		return
	}
	w.row = next
	for range copies {
		w.orders = append(w.orders, orderCopy{c, w.row.Incarnation(), w.now})
	}
}

func (w *world) read(i int) {
	rep := w.reports[i].Report
	rep.Read = w.now
	w.row, _ = w.row.Observe(w.bounds, rep)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.orders = slices.DeleteFunc(w.orders, func(o orderCopy) bool { return w.now.Sub(o.sent) > w.bounds.MaxInFlight })
	w.reports = slices.DeleteFunc(w.reports, func(r agedReport) bool { return w.now.Sub(r.taken) > w.bounds.MaxReportAge })
}

// Property: memory is never exceeded, whichever orders are lost, late, repeated or
// delivered after their successors, whenever the engine restarts, and whichever
// reports are late or out of order.
func TestMemoryIsNeverOver(t *testing.T) {
	for _, fencing := range []config.Fencing{config.FencingChecked, config.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(fencing)
				t.Repeat(actions(w))
			})
		})
	}
}

// plan lets the planner decide, at any demand, version and number of replicas, and
// sends its orders over the same network.
func (w *world) plan(t *rapid.T) {
	version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
	s := place.Snapshot{
		Models: []config.Model{{Name: "a", Version: version, MemoryMB: 55, MinReplicas: 1},
			{Name: "b", Version: "1", MemoryMB: 45}, {Name: "c", Version: "1", MemoryMB: 30}},
		Adapters:  []config.Adapter{{Name: "x", Model: "a", Version: "1", MemoryMB: 10}},
		Upstreams: []place.Upstream{{Name: "u", Row: w.row, MaxBatch: 8, ReportCount: 2}},
		Demand:    map[place.Key]place.Demand{}, Budget: 4, Bounds: w.bounds,
	}
	for _, m := range s.Models {
		d := rapid.Float64Range(0, 5).Draw(t, "demand")
		s.Demand[place.Key{Model: m.Name}] = place.Demand{Short: d, Long: d}
	}
	for _, m := range place.Plan(&s, w.now).Moves {
		w.reserve(m.Change, rapid.IntRange(0, 3).Draw(t, "copies"))
	}
}

func actions(w *world) map[string]func(*rapid.T) {
	changes := []ledger.Change{
		{Artifact: ledger.Artifact{Model: "a", Version: "1"}, MemoryMB: 60}, {Artifact: ledger.Artifact{Model: "b", Version: "1"}, MemoryMB: 45},
		{Artifact: ledger.Artifact{Model: "a", Version: "2"}, MemoryMB: 55}, {Artifact: ledger.Artifact{Model: "c", Version: "1"}, MemoryMB: 30},
		{Artifact: ledger.Artifact{Model: "a", Adapter: "x", Version: "1"}, MemoryMB: 10},
	}
	order := func(kind ledger.Kind) func(*rapid.T) {
		return func(t *rapid.T) {
			change := rapid.SampledFrom(changes).Draw(t, "thing")
			change.Kind = kind
			w.reserve(change, rapid.IntRange(0, 3).Draw(t, "copies"))
		}
	}
	deliver := func(t *rapid.T) {
		if len(w.orders) == 0 {
			return
		}
		i := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
		w.engine.carryOut(w.orders[i])
		w.orders = slices.Delete(w.orders, i, i+1)
	}
	makeReport := func(*rapid.T) { w.reports = append(w.reports, w.engine.report(w.now)) }
	return map[string]func(*rapid.T){
		"load": order(ledger.Load), "unload": order(ledger.Unload), "deliver": deliver, "deliver2": deliver, "report": makeReport,
		"read": func(t *rapid.T) {
			if len(w.reports) > 0 {
				w.read(rapid.IntRange(0, len(w.reports)-1).Draw(t, "report"))
			}
		},
		"readNewest": func(t *rapid.T) { makeReport(t); w.read(len(w.reports) - 1) },
		"plan":       func(t *rapid.T) { w.plan(t) },
		"restart":    func(*rapid.T) { w.engine.restart() },
		"second":     func(*rapid.T) { w.pass(time.Second) },
		"minutes":    func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(10, 200).Draw(t, "seconds")) * time.Second) },
		"": func(t *rapid.T) {
			assert.Assert(t, w.engine.maxUsedMB <= engineMB, "the engine held %d MB", w.engine.maxUsedMB)
		},
	}
}
