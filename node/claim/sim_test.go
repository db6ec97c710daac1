package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/history"
	standin "peridotpier.example/standin/platform"
)

// faults are the faults that a test injects into the table service.
type faults struct {
	down        bool
	loseAnswers int  // next commits that take effect but lose their answer
	dropCommits int  // next commits that have no effect and are answered as unconfirmed
	forgetOpIDs bool // the service does not remember operation ids
}

// faulty is a table service with faults.
type faulty struct {
	store.Table
	mu       sync.Mutex
	f        faults
	afterGet func() // runs once, after the next read
}

func (f *faulty) set(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.f)
}

func (f *faulty) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.f.down {
		return 0, store.ErrUnavailable
	}
	if f.f.dropCommits > 0 {
		f.f.dropCommits--
		return 0, store.ErrUnconfirmed
	}
	if f.f.forgetOpIDs {
		t.Op = ""
	}
	v, err := f.Table.Commit(ctx, t)
	if f.f.loseAnswers > 0 {
		f.f.loseAnswers--
		return 0, store.ErrUnconfirmed
	}
	return v, err
}

func (f *faulty) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.f.down {
		return nil, store.ErrUnavailable
	}
	rows, err := f.Table.Get(ctx, keys...)
	if f.afterGet != nil {
		f.afterGet()
		f.afterGet = nil
	}
	return rows, err
}

// mutant breaks a host's use of the table, to test that the history check notices.
type mutant struct {
	store.Table
	noConds              bool  // commits without conditions
	unconfirmedAs        error // a lost answer becomes this error
	unconfirmedAsSuccess bool  // a lost answer becomes a success
}

func (m *mutant) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	if m.noConds {
		t.Conds = nil
	}
	v, err := m.Table.Commit(ctx, t)
	if !errors.Is(err, store.ErrUnconfirmed) {
		return v, err
	}
	if m.unconfirmedAsSuccess {
		return v, nil
	}
	if m.unconfirmedAs != nil {
		return 0, m.unconfirmedAs
	}
	return v, err
}

// engine is an upstream that executes each attempt once, remembers it, and refuses
// attempts that it has reported as unseen.
type engine struct {
	hist     *history.History
	starts   int
	attempts map[string]*history.Execution
	fenced   map[string]bool
}

func newEngine(h *history.History) *engine { e := &engine{hist: h}; e.restart(); return e }

func (e *engine) restart() {
	e.starts++
	e.attempts, e.fenced = map[string]*history.Execution{}, map[string]bool{}
}

func (e *engine) incarnation() string { return fmt.Sprint("i", e.starts) }

// arrive delivers a request to the engine and reports whether it ran.
func (e *engine) arrive(f *flight) bool {
	if e.fenced[f.route.Attempt] || f.route.Incarnation != e.incarnation() || e.attempts[f.route.Attempt] != nil {
		return false
	}
	x := e.hist.Begin(history.Execution{InvocationID: f.call, Key: f.key, Attempt: f.route.Attempt})
	e.hist.Finish(x, f.route.Attempt)
	e.attempts[f.route.Attempt] = x
	return true
}

// QueryAttempt implements nodeclaim.AttemptQuerier.
func (c *cluster) QueryAttempt(ctx context.Context, upstream, id string) (engineapi.Attempt, error) {
	if c.mismatched {
		id = "another"
	}
	return c.engine.QueryAttempt(ctx, upstream, id)
}

func (e *engine) QueryAttempt(_ context.Context, _, id string) (engineapi.Attempt, error) {
	a := engineapi.Attempt{ID: id, Incarnation: e.incarnation(), State: engineapi.AttemptUnseen}
	if x := e.attempts[id]; x != nil {
		a.State, a.Status, a.Body = engineapi.AttemptCompleted, 200, []byte(x.Answer)
	} else {
		e.fenced[id] = true
	}
	return a, nil
}

// stage is how far a flight has come.
type stage int

const (
	granted stage = iota
	sent          // not yet at the engine
	executed
)

// flight is one granted request in progress on one host.
type flight struct {
	call, key string
	host      int
	grant     *nodeclaim.Grant
	route     claim.Route
	stage     stage
	deadline  time.Time
}

// cluster is a number of hosts with one table, one engine and the history of calls.
type cluster struct {
	table      *faulty
	make       backend
	stops      []func()
	engine     *engine
	hist       *history.History
	hosts      []*nodeclaim.Store
	starts     int
	calls      int
	flights    []*flight
	skew       time.Duration // by which each host's clock is ahead of the previous host's
	mismatched bool          // the engine answers about another attempt
}

const (
	simTTL      = time.Hour
	simDeadline = 5 * time.Second
)

// backend returns the records of one host and a function that stops them.
type backend func(c *cluster, host int) (nodeclaim.Records, func())

func rows(c *cluster, _ int) (nodeclaim.Records, func()) {
	return nodeclaim.NewRows(c.table), func() {}
}

func mutated(mutate func(store.Table) store.Table) backend {
	return func(c *cluster, _ int) (nodeclaim.Records, func()) {
		return nodeclaim.NewRows(mutate(c.table)), func() {}
	}
}

func batched(c *cluster, _ int) (nodeclaim.Records, func()) {
	b := nodeclaim.NewBatcher(nodeclaim.DefaultBatchConfig(), c.table)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = b.Run(ctx) }()
	return nodeclaim.NewRows(b), cancel
}

func newCluster(hosts int, b backend) *cluster {
	h := history.New()
	c := &cluster{table: &faulty{Table: standin.NewTable()}, make: b, hist: h, engine: newEngine(h),
		hosts: make([]*nodeclaim.Store, hosts), stops: make([]func(), hosts)}
	for i := range hosts {
		c.startHost(i)
	}
	return c
}

// stop stops the records of all hosts.
func (c *cluster) stop() {
	for _, stop := range c.stops {
		stop()
	}
}

// startHost starts a host with empty memory, in place of its former process.
func (c *cluster) startHost(i int) {
	c.starts++
	if c.stops[i] != nil {
		c.stops[i]()
	}
	records, stop := c.make(c, i)
	c.stops[i] = stop
	cfg := nodeclaim.DefaultConfig()
	cfg.TTL, cfg.Grace = simTTL, time.Second
	c.hosts[i] = nodeclaim.New(cfg, nodeclaim.Deps{
		Records: records, Attempts: c, Log: event.NewLog(nil), Now: func() time.Time { return c.now(i) },
		Owner: claim.Owner{Host: fmt.Sprint("h", i), Incarnation: fmt.Sprint(c.starts)},
	})
}

// now is the time by a host's own clock.
func (c *cluster) now(host int) time.Time { return time.Now().Add(time.Duration(host) * c.skew) }

func (c *cluster) route() claim.Route {
	c.calls++
	return claim.Route{Upstream: "e", Incarnation: c.engine.incarnation(), Attempt: fmt.Sprint("a", c.calls)}
}

// arrive sends a request to a host; if it is granted, it becomes a flight.
func (c *cluster) arrive(host int, key string, routed bool) (*flight, error) {
	c.calls++
	f := &flight{call: fmt.Sprint("c", c.calls), key: key, host: host, deadline: c.now(host).Add(simDeadline)}
	req := nodeclaim.Request{Team: "north", Key: key, BodyHash: "b", Deadline: f.deadline}
	if routed {
		f.route = c.route()
		req.Route = f.route
	}
	c.hist.Invoke(f.call, key)
	grant, answer, err := c.hosts[host].Claim(context.Background(), req)
	switch {
	case err != nil:
		c.recordError(f.call, err)
		return nil, err
	case answer != nil:
		c.hist.Answered(f.call, outcome.Completed, string(answer.Body))
		return nil, nil
	}
	f.grant = grant
	c.flights = append(c.flights, f)
	return f, nil
}

func (c *cluster) recordError(call string, err error) {
	e := fault.From(fault.StepClaim, err)
	if e.Code == fault.CodeInProgress {
		c.hist.AnsweredInProgress(call)
		return
	}
	c.hist.Answered(call, e.Outcome, "")
}

func (c *cluster) removeFlight(f *flight) {
	for i, o := range c.flights {
		if o == f {
			c.flights = append(c.flights[:i], c.flights[i+1:]...)
			return
		}
	}
}

// dispatch dispatches the request as the data path does.
func (c *cluster) dispatch(f *flight) {
	if f.route.Attempt == "" {
		f.route = c.route()
	}
	if err := f.grant.RecordDispatch(context.Background(), f.route, f.deadline); err != nil {
		_ = f.grant.Release(context.Background())
		c.recordError(f.call, err)
		c.removeFlight(f)
		return
	}
	f.stage = sent
}

// deliver delivers the request to the engine; a refusal releases the key.
func (c *cluster) deliver(f *flight) {
	if c.engine.arrive(f) {
		f.stage = executed
		return
	}
	_ = f.grant.Release(context.Background())
	c.hist.Answered(f.call, outcome.NotRun, "")
	c.removeFlight(f)
}

// complete returns the answer to the host and the caller.
func (c *cluster) complete(f *flight) {
	c.hist.Answered(f.call, outcome.Completed, f.route.Attempt)
	_ = f.grant.Complete(context.Background(), nodeclaim.Answer{Status: 200, Body: []byte(f.route.Attempt)})
	c.removeFlight(f)
}

// advance takes a flight to its next stage.
func (c *cluster) advance(f *flight) {
	switch f.stage {
	case granted:
		c.dispatch(f)
	case sent:
		c.deliver(f)
	case executed:
		c.complete(f)
	}
}

// breakConnection makes the host lose contact with the attempt; what was sent may still
// arrive late.
func (c *cluster) breakConnection(f *flight, arrivesLate bool) {
	_ = f.grant.MarkUnknown(context.Background())
	c.hist.Answered(f.call, outcome.Unknown, "")
	c.removeFlight(f)
	if f.stage == sent && arrivesLate {
		c.engine.arrive(f)
	}
}

// kill ends a host's process with all that it had in memory, and starts it again.
func (c *cluster) kill(host int, arrivesLate bool) {
	for _, f := range append([]*flight(nil), c.flights...) {
		if f.host != host {
			continue
		}
		c.hist.CallerLeft(f.call)
		c.removeFlight(f)
		if f.stage == sent && arrivesLate {
			c.engine.arrive(f)
		}
	}
	c.startHost(host)
}

func (c *cluster) drain(host int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = c.hosts[host].Drain(ctx)
}

func otherBody(key string) nodeclaim.Request {
	return nodeclaim.Request{Team: "north", Key: key, BodyHash: "other", Deadline: time.Now().Add(simDeadline)}
}
