// Package claimbench measures the cost of claims: it runs the claims of many hosts against a
// table service with the rate limit of the platform's, and counts executions on the
// upstream's side.
package claimbench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	coreclaim "peridotpier.example/core/claim"
	"peridotpier.example/node/claim"
	"peridotpier.example/node/event"
)

// Mode is a way of storing claims.
type Mode string

// Modes of storing claims.
const (
	Rows    Mode = "rows"    // each change of a claim is a commit of its own
	Batched Mode = "batched" // each claim is a row; a commit writes many rows
	Ranges  Mode = "ranges"  // key ranges with an owner each, which writes a log of its range
)

// Config describes one measurement.
type Config struct {
	Mode            Mode          `json:"mode"`
	Hosts           int           `json:"hosts"`
	Writers         int           `json:"writers"` // batchers, or ranges with an owner
	BatchInterval   time.Duration `json:"window_ns"`
	Rate            int           `json:"rate"`    // requests per second
	RepeatShare     float64       `json:"repeats"` // share of requests that another host receives too, immediately after the first
	Duration        time.Duration `json:"duration_ns"`
	MeanExecution   time.Duration `json:"execution_ns"` // mean execution time at the upstream; times are uniform from 0.5 to 1.5 of it
	WritesPerSecond float64       `json:"writes_per_second"`
	Latency         time.Duration `json:"latency_ns"` // of each call of the table service
	HopLatency      time.Duration `json:"hop_ns"`     // latency from a host to the host of a writer
	KillWriter      bool          `json:"kill"`       // kill the host of the first writer at half time
	DetectionDelay  time.Duration `json:"detect_ns"`  // until other hosts detect that a host died
	LeaseTTL        time.Duration `json:"lease_ttl_ns"`
	Seed            uint64        `json:"seed"`
}

// DesignSize returns the load of the design size, where 1 in 5 of 7,500 requests per second
// may not be repeated, on a table that accepts 300 writes per second.
func DesignSize(m Mode) Config {
	return Config{Mode: m, Hosts: 420, Writers: 8, BatchInterval: 60 * time.Millisecond, Rate: 1500, RepeatShare: 0.05,
		Duration: 10 * time.Second, MeanExecution: 100 * time.Millisecond, WritesPerSecond: 300, Latency: 2 * time.Millisecond,
		HopLatency: time.Millisecond, DetectionDelay: time.Second, LeaseTTL: 3 * time.Second, Seed: 1}
}

// QuietSite returns the load of a quiet site with 7 entry hosts, each of which writes its own
// claims.
func QuietSite(m Mode) Config {
	c := DesignSize(m)
	c.Hosts, c.Writers, c.Rate, c.BatchInterval, c.HopLatency = 7, 7, 20, 50*time.Millisecond, 0
	return c
}

// Report is the result of a measurement.
type Report struct {
	Config           Config  `json:"config"`
	Offered          int     `json:"offered"`
	Completed        int     `json:"completed"` // claimed, executed and answered
	Refused          int     `json:"refused"`   // not executed, since no claim could be written
	Repeated         int     `json:"repeated"`  // answered as in progress or with a stored answer: another request with the key was executed
	Duplicates       int     `json:"duplicates"`
	Pending          int     `json:"unsettled"` // claims whose completion is still deferred at the end
	ClaimsPerSecond  float64 `json:"claims_per_second"`
	CommitsPerSecond float64 `json:"commits_per_second"`
	BudgetShare      float64 `json:"write_budget_share"`
	LimitedCommits   int     `json:"commits_limited"`
	ClaimP50Ms       float64 `json:"claim_p50_ms"`
	ClaimP99Ms       float64 `json:"claim_p99_ms"`
	CompleteP99Ms    float64 `json:"settle_p99_ms"`
	RecoveryMs       float64 `json:"recovery_ms"` // from the kill to the first claim by the dead writer's successor
	OpenMs           float64 `json:"open_ms"`     // part of the recovery: opening the successor, which reads the log of a range
}

// maxLatencyMicros is the largest time that the histograms can record, in microseconds.
const maxLatencyMicros = 60_000_000

// bench is one measurement in progress. While requests run, mu guards the report's counts,
// the histograms and executions.
type bench struct {
	cfg           Config
	table         *RateLimitedTable
	fleet         *fleet
	stores        []*claim.Store
	mu            sync.Mutex
	report        Report
	claimTimes    *hdrhistogram.Histogram
	completeTimes *hdrhistogram.Histogram
	executions    map[string]int // by key
	requests      sync.WaitGroup
	kill          sync.WaitGroup // of a writer, until its successor is open
	killedAt      atomic.Int64   // when the writer was killed, in Unix nanoseconds; 0: not yet
}

// Run carries out one measurement and returns its report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	b := &bench{cfg: cfg, table: NewRateLimitedTable(cfg.WritesPerSecond, cfg.Latency), executions: map[string]int{},
		claimTimes: hdrhistogram.New(1, maxLatencyMicros, 3), completeTimes: hdrhistogram.New(1, maxLatencyMicros, 3)}
	b.report.Config = cfg
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if b.fleet, err = newFleet(ctx, cfg, b.table); err != nil {
		return Report{}, err
	}
	b.startStores(ctx)
	start, commits := time.Now(), b.table.Commits()
	b.generateLoad(ctx, start)
	elapsed := time.Since(start).Seconds()
	b.report.CommitsPerSecond = float64(b.table.Commits()-commits) / elapsed
	b.requests.Wait()
	b.kill.Wait()
	b.finish(elapsed)
	return b.report, errors.Join(ctx.Err(), b.fleet.successorError())
}

func (b *bench) startStores(ctx context.Context) {
	for i := range b.cfg.Hosts {
		s := claim.New(claim.DefaultConfig(), claim.Deps{Records: b.fleet.records(), Log: event.NewLog(nil), Now: time.Now,
			Owner: coreclaim.Owner{Host: fmt.Sprint("h", i), Incarnation: "1"}})
		b.stores = append(b.stores, s)
		go func() { _ = s.Run(ctx) }()
	}
}

// loadStep is the interval at which the load generator starts the requests that are due.
const loadStep = time.Millisecond

// generateLoad starts requests at the configured rate, independently of how long earlier
// ones take.
func (b *bench) generateLoad(ctx context.Context, start time.Time) {
	rnd := rand.New(rand.NewPCG(b.cfg.Seed, 0))
	tick := time.NewTicker(loadStep)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; <-tick.C {
		elapsed := time.Since(start)
		if elapsed >= b.cfg.Duration {
			return
		}
		if b.cfg.KillWriter && b.killedAt.Load() == 0 && elapsed >= b.cfg.Duration/2 {
			b.killedAt.Store(time.Now().UnixNano())
			b.kill.Go(func() { b.fleet.kill(ctx) })
		}
		for ; n < int(elapsed.Seconds()*float64(b.cfg.Rate)); n++ {
			key, host := fmt.Sprint("key", n), rnd.IntN(b.cfg.Hosts)
			b.start(ctx, host, key, false)
			if rnd.Float64() < b.cfg.RepeatShare {
				b.start(ctx, (host+1)%b.cfg.Hosts, key, true)
			}
		}
	}
}

func (b *bench) start(ctx context.Context, host int, key string, repeat bool) {
	b.mu.Lock()
	b.report.Offered++
	b.mu.Unlock()
	b.requests.Add(1)
	go func() {
		defer b.requests.Done()
		b.request(ctx, b.stores[host], key, repeat)
	}()
}

// requestDeadline is how long after its start a generated request has its deadline.
const requestDeadline = 10 * time.Second

// request claims a key at one host and, if the claim is granted, imitates the execution and
// completes the claim.
func (b *bench) request(ctx context.Context, s *claim.Store, key string, repeat bool) {
	start := time.Now()
	grant, _, err := s.Claim(ctx, claim.Request{Team: "bench", Key: key, BodyHash: "b", Deadline: start.Add(requestDeadline),
		Route: coreclaim.Route{Upstream: "u", Incarnation: "i", Attempt: fmt.Sprint(key, repeat)}})
	if grant == nil {
		b.recordRefusal(err)
		return
	}
	b.recordGrant(key, start)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(b.cfg.MeanExecution)))
	completeStart := time.Now()
	_ = grant.Complete(ctx, claim.Answer{Status: 200, Body: []byte(`{"stored":true}`)})
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.completeTimes.RecordValue(time.Since(completeStart).Microseconds())
	b.report.Completed++
}

// recordGrant records a granted claim, and the recovery after a kill if it is the first one that
// the successor of the dead writer took.
func (b *bench) recordGrant(key string, start time.Time) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions[key]++
	_ = b.claimTimes.RecordValue(now.Sub(start).Microseconds())
	killed := b.killedAt.Load()
	if killed != 0 && b.report.RecoveryMs == 0 && start.UnixNano() > killed && b.fleet.hasSuccessor(coreclaim.Key("bench", key)) {
		b.report.RecoveryMs = float64(now.UnixNano()-killed) / float64(time.Millisecond)
	}
}

// recordRefusal counts a claim that was not granted.
func (b *bench) recordRefusal(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isStoreDown(err) {
		b.report.Refused++
		return
	}
	b.report.Repeated++
}

// finish fills in the report after the last request has ended.
func (b *bench) finish(elapsed float64) {
	r := &b.report
	for _, n := range b.executions {
		r.Duplicates += n - 1
	}
	for _, s := range b.stores {
		n, _ := s.Pending()
		r.Pending += n
	}
	const ms = 1000.0
	r.ClaimsPerSecond, r.BudgetShare = float64(r.Completed)/elapsed, r.CommitsPerSecond/b.cfg.WritesPerSecond
	r.ClaimP50Ms, r.ClaimP99Ms = float64(b.claimTimes.ValueAtQuantile(50))/ms, float64(b.claimTimes.ValueAtQuantile(99))/ms
	r.CompleteP99Ms = float64(b.completeTimes.ValueAtQuantile(99)) / ms
	r.LimitedCommits, r.OpenMs = b.table.LimitedCommits(), b.fleet.openMs()
}
