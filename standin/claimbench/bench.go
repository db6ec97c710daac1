// Package claimbench measures what claims cost: it drives the claims of many
// hosts against a table service that is limited as the platform's is, and
// counts executions on the upstream's side.
package claimbench

import (
	"context"
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

// Mode is a way of keeping claims.
type Mode string

// The ways.
const (
	Rows    Mode = "rows"    // a commit a change
	Batched Mode = "batched" // a row a claim, many rows a commit
	Ranges  Mode = "ranges"  // owned ranges, each with a log
)

// Config is one measurement.
type Config struct {
	Mode            Mode          `json:"mode"`
	Hosts           int           `json:"hosts"`
	Writers         int           `json:"writers"` // batchers, or owned ranges
	BatchInterval   time.Duration `json:"window_ns"`
	Rate            int           `json:"rate"`    // requests a second
	RepeatShare     float64       `json:"repeats"` // share that arrives a second time, at another host, at once
	Duration        time.Duration `json:"duration_ns"`
	MeanExecution   time.Duration `json:"execution_ns"` // mean time the upstream takes; half to one and a half of it
	WritesPerSecond float64       `json:"writes_per_second"`
	Latency         time.Duration `json:"latency_ns"` // of one call to the table service
	HopLatency      time.Duration `json:"hop_ns"`     // to the host of a writer
	KillWriter      bool          `json:"kill"`       // the first writer's host, at half time
	DetectionDelay  time.Duration `json:"detect_ns"`  // until others see that a host died
	LeaseTTL        time.Duration `json:"lease_ttl_ns"`
	Seed            uint64        `json:"seed"`
}

// DesignSize is the load of the design size, where 1 in 5 of 7,500 requests a
// second may not be repeated, on a table that takes 300 writes a second.
func DesignSize(m Mode) Config {
	return Config{Mode: m, Hosts: 420, Writers: 8, BatchInterval: 60 * time.Millisecond, Rate: 1500, RepeatShare: 0.05,
		Duration: 10 * time.Second, MeanExecution: 100 * time.Millisecond, WritesPerSecond: 300, Latency: 2 * time.Millisecond,
		HopLatency: time.Millisecond, DetectionDelay: time.Second, LeaseTTL: 3 * time.Second, Seed: 1}
}

// QuietSite is a quiet site of today: 7 entry hosts, each writing for itself.
func QuietSite(m Mode) Config {
	c := DesignSize(m)
	c.Hosts, c.Writers, c.Rate, c.BatchInterval, c.HopLatency = 7, 7, 20, 50*time.Millisecond, 0
	return c
}

// Report is what was measured.
type Report struct {
	Config           Config  `json:"config"`
	Offered          int     `json:"offered"`
	Completed        int     `json:"completed"` // claimed, executed and answered
	Refused          int     `json:"refused"`   // not run, since no claim could be written
	Repeated         int     `json:"repeated"`  // told in progress or replayed: the other of two with one key ran
	Duplicates       int     `json:"duplicates"`
	Pending          int     `json:"unsettled"` // still deferred at the end
	ClaimsPerSecond  float64 `json:"claims_per_second"`
	CommitsPerSecond float64 `json:"commits_per_second"`
	BudgetShare      float64 `json:"write_budget_share"`
	LimitedCommits   int     `json:"commits_limited"`
	ClaimP50Ms       float64 `json:"claim_p50_ms"`
	ClaimP99Ms       float64 `json:"claim_p99_ms"`
	CompleteP99Ms    float64 `json:"settle_p99_ms"`
	RecoveryMs       float64 `json:"recovery_ms"` // from the kill to the first claim by the dead writer's successor
	OpenMs           float64 `json:"open_ms"`     // of it, reading a range's log
}

// maxLatencyMicros is the largest time that the histograms hold, in microseconds.
const maxLatencyMicros = 60_000_000

type bench struct {
	cfg           Config
	table         *RateLimitedTable
	fleet         *fleet
	stores        []*claim.Store
	mu            sync.Mutex
	report        Report
	claimTimes    *hdrhistogram.Histogram
	completeTimes *hdrhistogram.Histogram
	executions    map[string]int
	requests      sync.WaitGroup
	killedAt      atomic.Int64 // Unix nanoseconds; 0: not yet
}

// Run measures.
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
	b.finish(elapsed)
	return b.report, ctx.Err()
}

func (b *bench) startStores(ctx context.Context) {
	for i := range b.cfg.Hosts {
		s := claim.New(claim.DefaultConfig(), claim.Deps{Records: b.fleet.records(), Log: event.NewLog(nil), Now: time.Now,
			Owner: coreclaim.Owner{Host: fmt.Sprint("h", i), Incarnation: "1"}})
		b.stores = append(b.stores, s)
		go func() { _ = s.Run(ctx) }()
	}
}

// loadStep is how often the load generator starts what is due.
const loadStep = time.Millisecond

// generateLoad starts requests at the rate, whatever becomes of those before.
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
			go b.fleet.kill(ctx)
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

// requestDeadline is that of the generated requests.
const requestDeadline = 10 * time.Second

func (b *bench) request(ctx context.Context, s *claim.Store, key string, repeat bool) {
	start := time.Now()
	grant, _, err := s.Claim(ctx, claim.Request{Team: "bench", Key: key, BodyHash: "b", Deadline: start.Add(requestDeadline),
		Route: coreclaim.Route{Upstream: "u", Incarnation: "i", Attempt: fmt.Sprint(key, repeat)}})
	if grant == nil {
		b.refused(err)
		return
	}
	b.granted(key, start)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(b.cfg.MeanExecution)))
	completeStart := time.Now()
	_ = grant.Complete(ctx, claim.Answer{Status: 200, Body: []byte(`{"stored":true}`)})
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.completeTimes.RecordValue(time.Since(completeStart).Microseconds())
	b.report.Completed++
}

func (b *bench) granted(key string, start time.Time) {
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

func (b *bench) refused(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isStoreDown(err) {
		b.report.Refused++
		return
	}
	b.report.Repeated++
}

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
