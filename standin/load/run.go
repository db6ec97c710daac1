package load

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// EntryBalancer is the platform's balancer as callers see it.
type EntryBalancer interface {
	// Next names an entry host, another than last where there is one.
	Next(last string) (string, error)
}

// ErrNoEntryHost says that the balancer knows no entry host.
var ErrNoEntryHost = errors.New("no entry host in the balancer")

// Balancer hands out entry hosts in turn.
type Balancer struct {
	hosts   atomic.Pointer[[]string]
	counter atomic.Uint64
}

// NewBalancer makes a balancer over hosts.
func NewBalancer(hosts ...string) *Balancer {
	b := &Balancer{}
	b.Set(hosts...)
	return b
}

// Set replaces the hosts.
func (b *Balancer) Set(hosts ...string) { b.hosts.Store(&hosts) }

// Next implements Entries.
func (b *Balancer) Next(last string) (string, error) {
	hosts := *b.hosts.Load()
	if len(hosts) == 0 {
		return "", ErrNoEntryHost
	}
	n := uint64(len(hosts))
	host := hosts[b.counter.Add(1)%n]
	if host == last {
		host = hosts[b.counter.Add(1)%n]
	}
	return host, nil
}

// Defaults of a Config.
const (
	defaultMaxInFlight    = 20000
	defaultMaxOverdueWait = 10 * time.Second
	idlePerHost           = 256
)

// Config describes a run.
type Config struct {
	Plan           []Arrival
	Entries        EntryBalancer
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil: plain; else adds distance
	MaxInFlight    int                                                                  // invocations at once at most; more are recorded as skipped
	MaxOverdueWait time.Duration                                                        // after its deadline a caller waits that long for a word
	Progress       func(Progress)                                                       // called about once a second; nil: not
}

// Progress is where a run stands.
type Progress struct {
	Elapsed     time.Duration
	Sent        int
	Finished    int
	MetDeadline int
}

// Run sends the plan and returns when every invocation has had its last word
// or ctx ended.
func Run(ctx context.Context, cfg Config) *Result {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.MaxOverdueWait == 0 {
		cfg.MaxOverdueWait = defaultMaxOverdueWait
	}
	transport := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{cfg: cfg, client: &http.Client{Transport: transport}, result: newResult(len(cfg.Plan))}
	r.run(ctx)
	return r.result
}

type runner struct {
	cfg         Config
	client      *http.Client
	result      *Result
	start       time.Time
	inFlight    atomic.Int64
	finished    atomic.Int64
	metDeadline atomic.Int64
}

func (r *runner) run(ctx context.Context) {
	r.start = time.Now()
	var calls sync.WaitGroup
	shown := r.start
	for i, a := range r.cfg.Plan {
		intended := r.start.Add(a.Offset)
		if wait := time.Until(intended); wait > 0 && !sleep(ctx, wait) {
			break
		}
		if now := time.Now(); r.cfg.Progress != nil && now.Sub(shown) >= time.Second {
			shown = now
			r.cfg.Progress(Progress{now.Sub(r.start), i, int(r.finished.Load()), int(r.metDeadline.Load())})
		}
		v := &Invocation{Arrival: a, Intended: intended}
		if int(r.inFlight.Load()) >= r.cfg.MaxInFlight {
			v.Skipped = true
			r.result.add(v)
			continue
		}
		r.inFlight.Add(1)
		calls.Go(func() { r.call(ctx, v) })
	}
	calls.Wait()
	r.result.Elapsed = time.Since(r.start)
}

func (r *runner) call(run context.Context, v *Invocation) {
	ctx, cancel := context.WithDeadline(run, v.Intended.Add(v.Arrival.Source.Deadline+r.cfg.MaxOverdueWait))
	defer cancel()
	c := &caller{client: r.client, entries: r.cfg.Entries, inv: v}
	c.run(ctx)
	r.inFlight.Add(-1)
	if run.Err() != nil && v.Verdict != VerdictComplete {
		return // the callers were called off; that is nobody's fault and no measurement
	}
	r.finished.Add(1)
	if v.MetDeadline() {
		r.metDeadline.Add(1)
	}
	r.result.add(v)
}
