package speed

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotpier.example/node/pace"
	"peridotpier.example/standin/load"
)

// measureMemory measures the memory of the second host without requests, and with idle streams
// open through it.
func measureMemory(ctx context.Context, cfg Config, rep *Report) error {
	c := newCaller(cfg.Layout)
	before, err := readMemory(ctx, cfg, c)
	if err != nil {
		return err
	}
	rep.IdleMB, rep.IdleStreams = before.residentKB/1024, cfg.IdleStreams
	streams, stop := context.WithCancel(ctx)
	f := &streamLoad{caller: c, address: cfg.Layout.Entries[1].Caller, model: modelIdle, tokens: 1000}
	f.start(streams, cfg.IdleStreams)
	defer f.wg.Wait()
	defer stop()
	for f.opened.Load() < int64(cfg.IdleStreams) && f.firstError() == nil {
		if !pace.Sleep(ctx, warmUp/10) {
			return ctx.Err()
		}
	}
	after, err := memoryAfterCollections(ctx, cfg, c)
	n := float64(cfg.IdleStreams)
	rep.StackKBPerIdleStream = (after.stacksKB - before.stacksKB) / n
	rep.KBPerIdleStream = (after.usedKB - before.usedKB) / n
	rep.ResidentKBPerIdleStream = (after.residentKB - before.residentKB) / n
	if err == nil {
		err = f.firstError()
	}
	return err
}

// memoryAfterCollections sends requests for the list of models until the host has collected its
// garbage twice with the streams open, so that the size of its live heap is known.
func memoryAfterCollections(ctx context.Context, cfg Config, c *caller) (memoryUse, error) {
	first, err := readMemory(ctx, cfg, c)
	now := first
	for err == nil && now.collections < first.collections+2 {
		for range 500 {
			if err := c.listModels(ctx, cfg.Layout.Entries[1].Caller); err != nil {
				return now, err
			}
		}
		now, err = readMemory(ctx, cfg, c)
	}
	return now, err
}

// measureThroughput measures how many tokens per second the first host forwards on one core,
// with a number of streams.
func measureThroughput(ctx context.Context, cfg Config, f *streamLoad, streams int) (Throughput, error) {
	ctx, stop := context.WithCancel(ctx)
	f.caller, f.address = newCaller(cfg.Layout), cfg.Layout.Entries[0].Caller
	f.start(ctx, streams)
	defer f.wg.Wait()
	defer stop()
	if !pace.Sleep(ctx, warmUp) {
		return Throughput{}, ctx.Err()
	}
	cpu, err := cpuTime(cfg.OneCorePID)
	if err != nil {
		return Throughput{}, err
	}
	start, events := time.Now(), f.events.Load()
	if !pace.Sleep(ctx, cfg.Duration) {
		return Throughput{}, ctx.Err()
	}
	elapsed, events := time.Since(start), f.events.Load()-events
	after, err := cpuTime(cfg.OneCorePID)
	if err == nil {
		err = f.firstError()
	}
	return Throughput{Streams: streams, TokensPerSecond: float64(events) / elapsed.Seconds(), CPUShare: (after - cpu).Seconds() / elapsed.Seconds()}, err
}

// measurePaced measures streams of 100 tokens a second each.
func measurePaced(ctx context.Context, cfg Config, rep *Report) (err error) {
	const tokens = 2000 // 20 s: longer than the measurement
	rep.Paced, err = measureThroughput(ctx, cfg, &streamLoad{model: modelPaced, tokens: tokens}, cfg.PacedStreams)
	return err
}

// measureFast measures streams that are as fast as the host can forward them.
func measureFast(ctx context.Context, cfg Config, rep *Report) (err error) {
	rep.Fast, err = measureThroughput(ctx, cfg, &streamLoad{model: modelFast, tokens: 4000}, cfg.FastStreams)
	return err
}

// measureFirstByte sends requests alternately to the engines and through the second host, at
// fixed times and each in a goroutine of its own, so that a slow answer delays no other
// request.
func measureFirstByte(ctx context.Context, cfg Config, rep *Report) error {
	c := newCaller(cfg.Layout)
	direct := &firstByteTimer{caller: c, addresses: cfg.Layout.Engines}
	host := &firstByteTimer{caller: c, addresses: []string{cfg.Layout.Entries[1].Caller}}
	for _, f := range []*firstByteTimer{direct, host} {
		f.times = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	interval := time.Second / time.Duration(2*cfg.RequestsPerSecond)
	measured := int(cfg.Duration.Seconds()) * 2 * cfg.RequestsPerSecond
	warmUpRequests := int(warmUp.Seconds()) * 2 * cfg.RequestsPerSecond
	start := time.Now()
	var wg sync.WaitGroup
	for i := range warmUpRequests + measured {
		if wait := time.Until(start.Add(time.Duration(i) * interval)); wait > 0 {
			if !pace.Sleep(ctx, wait) {
				return ctx.Err()
			}
		}
		f := direct
		if i%2 == 1 {
			f = host
		}
		wg.Go(func() { f.measure(ctx, i, i >= warmUpRequests) })
	}
	wg.Wait()
	rep.DirectMs, rep.HostMs = load.QuantilesOf(direct.times), load.QuantilesOf(host.times)
	rep.AddedMs = load.Quantiles{P50: rep.HostMs.P50 - rep.DirectMs.P50, P95: rep.HostMs.P95 - rep.DirectMs.P95, P99: rep.HostMs.P99 - rep.DirectMs.P99}
	if direct.err != nil {
		return direct.err
	}
	return host.err
}

// firstByteTimer records the times to the first byte of the bodies of answers.
type firstByteTimer struct {
	caller    *caller
	addresses []string
	mu        sync.Mutex
	times     *hdrhistogram.Histogram // microseconds
	err       error
}

// measure sends request i and, if record is set, records its time. The first requests only
// warm up the connections.
func (f *firstByteTimer) measure(ctx context.Context, i int, record bool) {
	start := time.Now()
	body, err := f.caller.openStream(ctx, f.addresses[(i/2)%len(f.addresses)], modelFast, 1)
	var elapsed time.Duration
	if err == nil {
		var b [1]byte
		_, err = io.ReadFull(body, b[:])
		elapsed = time.Since(start)
		_, _ = io.Copy(io.Discard, body) // lets the connection be reused
		_ = body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.err = err
		return
	}
	if record {
		_ = f.times.RecordValue(max(elapsed.Microseconds(), 1)) // fails only above the histogram's limit of a minute
	}
}
