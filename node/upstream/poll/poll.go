// Package poll polls upstreams for their reports and cache events.
package poll

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"peridotpier.example/core/config"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/event"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/engineapi"
)

const (
	// requestTimeout bounds one request; a slower report would be stale anyway.
	requestTimeout = 2 * time.Second
	// maxReportBytes bounds a response; a report with 500 residents takes about 60 KB.
	maxReportBytes = 1 << 20
	// jitter is the range of the random variation of an interval, as a share of it; it
	// spreads the requests of many hosts over the interval.
	jitter = 0.2
	// maxPooledInterval is the polling interval above which no connection is kept.
	maxPooledInterval = 2 * time.Second
	// maxConcurrentStartup bounds the concurrent requests of PollAll.
	maxConcurrentStartup = 32
)

// Sink receives the reports and cache events of upstreams; node/upstream/view
// implements it.
type Sink interface {
	ApplyReport(r engineapi.Report, at time.Time) bool
	ObserveCacheEvent(upstream string, e engineapi.CacheEvent)
	MarkDown(upstream string)
}

// Target is one upstream to poll, and how often.
type Target struct {
	config.Upstream
	Interval    time.Duration
	CacheEvents bool // poll for cache events too
}

// Poller polls each upstream that it is assigned, in a goroutine of its own.
type Poller struct {
	client *conn.Client
	sparse *conn.Client // for intervals above maxPooledInterval
	sink   Sink
	log    *event.Log
	// OnReport, when set before Run, is called for every report that the sink applied.
	OnReport func(r engineapi.Report, at time.Time)

	mu      sync.Mutex
	targets map[string]*targetState // by upstream
	runCtx  context.Context
	wg      sync.WaitGroup
}

// targetState is the polling state of one assigned upstream.
type targetState struct {
	mu          sync.Mutex // guards assigned, which Assign may change
	assigned    Target
	cancel      context.CancelFunc
	incarnation string // of the last report
	lastEvent   uint64 // sequence number of the last cache event of that incarnation
	residents   []engineapi.Resident
	digest      string // of residents
	failing     bool   // the last request failed, which is logged already
}

func (t *targetState) current() Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.assigned
}

// New returns a Poller. It uses client for upstreams with short polling intervals,
// and sparse, which must not keep connections for long, for the others.
func New(client, sparse *conn.Client, sink Sink, log *event.Log) *Poller {
	return &Poller{client: client, sparse: sparse, sink: sink, log: log, targets: map[string]*targetState{}}
}

// clientFor returns the client for a polling interval. In a fleet each host polls
// some twenty upstreams every few seconds: connections kept between two polls would
// cost every upstream and host more than they save.
func (p *Poller) clientFor(every time.Duration) *conn.Client {
	if every > maxPooledInterval {
		return p.sparse
	}
	return p.client
}

// Run polls until ctx ends, then waits for the goroutines that it started.
func (p *Poller) Run(ctx context.Context) error {
	p.mu.Lock()
	p.runCtx = ctx
	for _, t := range p.targets {
		p.start(t)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.wg.Wait()
	return nil
}

// Assign replaces the set of upstreams to poll.
func (p *Poller) Assign(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*targetState, len(targets))
	for _, u := range targets {
		old := p.targets[u.Name]
		if old != nil && old.current().Address == u.Address {
			old.mu.Lock()
			old.assigned = u
			old.mu.Unlock()
			next[u.Name] = old
			delete(p.targets, u.Name)
			continue
		}
		t := &targetState{assigned: u}
		next[u.Name] = t
		if p.runCtx != nil {
			p.start(t)
		}
	}
	for _, t := range p.targets {
		if t.cancel != nil {
			t.cancel()
		}
	}
	p.targets = next
}

// start starts polling t if Run was called and its context has not ended. p.mu is held.
func (p *Poller) start(t *targetState) {
	if p.runCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.runCtx)
	t.cancel = cancel
	p.wg.Go(func() { p.pollLoop(ctx, t) })
}

// pollLoop polls one upstream at jittered intervals until ctx ends.
func (p *Poller) pollLoop(ctx context.Context, t *targetState) {
	// The first request is sent at a random time within the interval, so that hosts
	// that start together do not keep polling at the same times.
	timer := time.NewTimer(time.Duration(rand.Float64() * float64(t.current().Interval)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		assigned := t.current()
		p.pollReport(ctx, t, assigned)
		spread := 1 - jitter/2 + jitter*rand.Float64()
		timer.Reset(time.Duration(float64(assigned.Interval) * spread))
	}
}

func (p *Poller) pollReport(ctx context.Context, t *targetState, u Target) {
	var r engineapi.Report
	query := ""
	if t.digest != "" {
		query = engineapi.ParamResidents + "=" + t.digest
	}
	if err := p.get(ctx, u, engineapi.PathReport, query, &r); err != nil {
		p.recordFailure(ctx, t, u, err)
		return
	}
	if r.Upstream != u.Name {
		// Another upstream uses the address now; its report must not be applied to this one.
		p.recordFailure(ctx, t, u, fault.Unknown(fault.StepDispatch, u.Address, fault.CodeUpstreamFailed, "report is of %q", r.Upstream))
		return
	}
	t.failing = false
	if t.incarnation != r.Incarnation {
		t.incarnation, t.lastEvent = r.Incarnation, 0
	}
	if r.Residents == nil && r.Digest != "" && r.Digest == t.digest {
		r.Residents = t.residents
	}
	t.residents, t.digest = r.Residents, r.Digest
	at := time.Now()
	if p.sink.ApplyReport(r, at) && p.OnReport != nil {
		p.OnReport(r, at)
	}
	if u.CacheEvents {
		p.pollEvents(ctx, t, u)
	}
}

// recordFailure logs the first of consecutive failures, and marks the upstream as down
// if the request could not be sent, as when its connection was refused.
func (p *Poller) recordFailure(ctx context.Context, t *targetState, u Target, err error) {
	if ctx.Err() != nil {
		return
	}
	if fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun {
		p.sink.MarkDown(u.Name)
	}
	if !t.failing {
		t.failing = true
		p.log.Emit(event.ReportFailed, zap.String(event.FieldPeer, u.Name), zap.Error(err))
	}
}

// pollEvents polls for cache events. They are hints only, so a failure is not logged.
func (p *Poller) pollEvents(ctx context.Context, t *targetState, u Target) {
	var list []engineapi.CacheEvent
	if p.get(ctx, u, engineapi.PathEvents, "after="+strconv.FormatUint(t.lastEvent, 10), &list) != nil {
		return
	}
	for _, e := range list {
		t.lastEvent = max(t.lastEvent, e.Sequence)
		p.sink.ObserveCacheEvent(u.Name, e)
	}
}

func (p *Poller) get(ctx context.Context, u Target, path, query string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := p.clientFor(u.Interval).Do(ctx, &conn.Request{Address: u.Address, Method: http.MethodGet, Path: path, Query: query, Header: http.Header{}})
	if err != nil {
		return err
	}
	data, err := resp.ReadAll(maxReportBytes)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return fault.Unknown(fault.StepDispatch, u.Address, fault.CodeUpstreamFailed, "%s: status %d", path, resp.Status)
	}
	return json.Unmarshal(data, out)
}

// PollAll polls every assigned upstream once, so that a host that has just started
// does not refuse requests that it could serve.
func (p *Poller) PollAll(ctx context.Context) {
	p.mu.Lock()
	targets := make([]Target, 0, len(p.targets))
	for _, t := range p.targets {
		targets = append(targets, t.current())
	}
	p.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxConcurrentStartup)
	for _, u := range targets {
		g.Go(func() error { p.pollReport(ctx, &targetState{assigned: u}, u); return nil })
	}
	_ = g.Wait() // always nil: pollReport handles its failures itself
}
