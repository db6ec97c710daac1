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
	// Next returns an entry host, which differs from last if there is another one.
	Next(last string) (string, error)
}

// ErrNoEntryHost reports that the balancer has no entry host.
var ErrNoEntryHost = errors.New("no entry host in the balancer")

// Balancer returns its entry hosts in rotation.
type Balancer struct {
	hosts   atomic.Pointer[[]string]
	counter atomic.Uint64
}

// NewBalancer returns a balancer over hosts.
func NewBalancer(hosts ...string) *Balancer {
	b := &Balancer{}
	b.Set(hosts...)
	return b
}

// Set replaces the hosts.
func (b *Balancer) Set(hosts ...string) { b.hosts.Store(&hosts) }

// Next implements EntryBalancer.
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

// Default values of a Config, and a bound.
const (
	defaultMaxInFlight    = 20000
	defaultMaxOverdueWait = 10 * time.Second
	idlePerHost           = 256
)

// Config holds the settings of a run.
type Config struct {
	Plan           []Arrival
	Entries        EntryBalancer
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil: the default dialer; wire.Dialer adds delays
	MaxInFlight    int                                                                  // invocations at once; more are recorded as skipped
	MaxOverdueWait time.Duration                                                        // how long a caller waits for an outcome after its deadline
	Progress       func(Progress)                                                       // called about once a second; nil: not called
}

// Progress is the state of a run.
type Progress struct {
	Elapsed     time.Duration
	Sent        int
	Finished    int
	MetDeadline int
}

// Run sends the calls of the plan and returns when every invocation has its final
// outcome or ctx has ended.
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
	lastProgress := r.start
	for i, a := range r.cfg.Plan {
		intended := r.start.Add(a.Offset)
		if wait := time.Until(intended); wait > 0 && !sleep(ctx, wait) {
			break
		}
		if now := time.Now(); r.cfg.Progress != nil && now.Sub(lastProgress) >= time.Second {
			lastProgress = now
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
		return // the run was ended: an invocation that it interrupted is no measurement
	}
	r.finished.Add(1)
	if v.MetDeadline() {
		r.metDeadline.Add(1)
	}
	r.result.add(v)
}
