package speed

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotpier.example/standin/load"
)

// measureMemory takes the resident memory of the second host before and after
// idle streams are open through it.
func measureMemory(ctx context.Context, cfg Config, rep *Report) error {
	before, err := residentKB(cfg.Free)
	if err != nil {
		return err
	}
	rep.IdleMB, rep.IdleStreams = before/1024, cfg.Streams
	ctx, stop := context.WithCancel(ctx)
	f := &flow{caller: newCaller(cfg.Layout), address: cfg.Layout.Entries[1].Caller, model: modelIdle, tokens: 1000}
	f.start(ctx, cfg.Streams)
	defer f.wg.Wait()
	defer stop()
	for f.opened.Load() < int64(cfg.Streams) && f.failed() == nil {
		if err := pause(ctx, settle/10); err != nil {
			return err
		}
	}
	if err := pause(ctx, settle); err != nil {
		return err
	}
	after, err := residentKB(cfg.Free)
	rep.KBPerIdleStream = (after - before) / float64(cfg.Streams)
	if err == nil {
		err = f.failed()
	}
	return err
}

// relay measures one core's relaying through the first host.
func relay(ctx context.Context, cfg Config, f *flow, streams int) (Relayed, error) {
	ctx, stop := context.WithCancel(ctx)
	f.caller, f.address = newCaller(cfg.Layout), cfg.Layout.Entries[0].Caller
	f.start(ctx, streams)
	defer f.wg.Wait()
	defer stop()
	if err := pause(ctx, settle); err != nil {
		return Relayed{}, err
	}
	cpu, err := processorTime(cfg.OneCore)
	if err != nil {
		return Relayed{}, err
	}
	began, seen := time.Now(), f.seen.Load()
	if err := pause(ctx, cfg.Length); err != nil {
		return Relayed{}, err
	}
	took, seen := time.Since(began), f.seen.Load()-seen
	after, err := processorTime(cfg.OneCore)
	if err == nil {
		err = f.failed()
	}
	return Relayed{Streams: streams, TokensPerSecond: float64(seen) / took.Seconds(), CPUShare: (after - cpu).Seconds() / took.Seconds()}, err
}

func measurePaced(ctx context.Context, cfg Config, rep *Report) (err error) {
	const tokens = 2000 // 20 s: longer than the measurement
	rep.Paced, err = relay(ctx, cfg, &flow{model: modelPaced, tokens: tokens}, cfg.Paced)
	return err
}

func measureFast(ctx context.Context, cfg Config, rep *Report) (err error) {
	rep.Fast, err = relay(ctx, cfg, &flow{model: modelFast, tokens: 4000}, cfg.Fast)
	return err
}

// measureFirstByte sends requests to the engines themselves and, between
// them, through the second host, each in its own goroutine at its own time.
func measureFirstByte(ctx context.Context, cfg Config, rep *Report) error {
	c := newCaller(cfg.Layout)
	direct := &first{caller: c, addresses: cfg.Layout.Engines}
	host := &first{caller: c, addresses: []string{cfg.Layout.Entries[1].Caller}}
	for _, f := range []*first{direct, host} {
		f.times = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	gap := time.Second / time.Duration(2*cfg.Rate)
	n := int(cfg.Length.Seconds()) * 2 * cfg.Rate
	warm := int(settle.Seconds()) * 2 * cfg.Rate
	began := time.Now()
	var wg sync.WaitGroup
	for i := range warm + n {
		if wait := time.Until(began.Add(time.Duration(i) * gap)); wait > 0 {
			if err := pause(ctx, wait); err != nil {
				return err
			}
		}
		f := direct
		if i%2 == 1 {
			f = host
		}
		wg.Go(func() { f.one(ctx, i, i >= warm) })
	}
	wg.Wait()
	rep.DirectMs, rep.HostMs = load.QuantilesOf(direct.times), load.QuantilesOf(host.times)
	rep.AddedMs = load.Quantiles{P50: rep.HostMs.P50 - rep.DirectMs.P50, P95: rep.HostMs.P95 - rep.DirectMs.P95, P99: rep.HostMs.P99 - rep.DirectMs.P99}
	if direct.err != nil {
		return direct.err
	}
	return host.err
}

// first measures times to the first byte of an answer's body.
type first struct {
	caller    *caller
	addresses []string
	mu        sync.Mutex
	times     *hdrhistogram.Histogram // microseconds
	err       error
}

func (f *first) one(ctx context.Context, i int, counts bool) {
	began := time.Now()
	body, err := f.caller.open(ctx, f.addresses[(i/2)%len(f.addresses)], modelFast, 1)
	var took time.Duration
	if err == nil {
		var b [1]byte
		_, err = io.ReadFull(body, b[:])
		took = time.Since(began)
		_, _ = io.Copy(io.Discard, body) // the connection is used again
		_ = body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.err = err
		return
	}
	if counts {
		_ = f.times.RecordValue(max(took.Microseconds(), 1)) // below the minute by far
	}
}
