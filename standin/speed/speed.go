// Package speed measures the data path of entry hosts that are processes of
// their own, beside stand-in engines: what a host adds to the time to the first
// byte, how many tokens it relays on one core, and what memory it takes.
package speed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/standin/load"
	"peridotpier.example/standin/local"
)

// The models of the built-in site "speed".
const (
	modelFast  = "fast"  // tokens as fast as the engine makes them
	modelPaced = "paced" // 100 tokens a second
	modelIdle  = "idle"  // one token a second
)

// Config says what to measure.
type Config struct {
	Layout            *local.Layout // its first host runs with GOMAXPROCS=1, its second as it likes
	OneCorePID        int           // process id of the first host
	UnrestrictedPID   int           // process id of the second
	Duration          time.Duration // of each part
	RequestsPerSecond int           // requests a second for the time to the first byte
	IdleStreams       int           // idle streams
	PacedStreams      int           // paced streams, of 100 tokens a second each
	FastStreams       int           // fast streams at once
}

// Report is what was measured.
type Report struct {
	IdleMB                  float64        `json:"idle_rss_mb"`              // resident memory of a host without requests
	IdleStreams             int            `json:"idle_streams"`             // held open at once
	KBPerIdleStream         float64        `json:"kb_per_idle_stream"`       // live heap and stacks that each adds
	StackKBPerIdleStream    float64        `json:"stack_kb_per_idle_stream"` // part of it
	ResidentKBPerIdleStream float64        `json:"rss_kb_per_idle_stream"`   // resident memory, garbage and all
	RequestsPerSecond       int            `json:"requests_per_second"`      // of the times below
	DirectMs                load.Quantiles `json:"direct_first_byte_ms"`     // engine called without a host
	HostMs                  load.Quantiles `json:"host_first_byte_ms"`       // through a host, in the same run
	AddedMs                 load.Quantiles `json:"added_first_byte_ms"`      // difference of the quantiles
	Paced                   Throughput     `json:"paced"`                    // each token on its own, in time
	Fast                    Throughput     `json:"fast"`                     // as many as the host can
}

// Throughput is what a host on one core relayed.
type Throughput struct {
	Streams         int     `json:"streams"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	CPUShare        float64 `json:"cpu_share"` // of the host's one core
}

// Run measures one part after the other; the hosts must have just started.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if len(cfg.Layout.Entries) < 2 {
		return Report{}, eris.New("two entry hosts are needed")
	}
	b := local.NewReadyBalancer(cfg.Layout)
	if err := b.AwaitAllReady(ctx); err != nil {
		return Report{}, eris.Wrap(err, "wait for the hosts")
	}
	rep := Report{RequestsPerSecond: cfg.RequestsPerSecond}
	for _, part := range []func(context.Context, Config, *Report) error{measureMemory, measureFirstByte, measurePaced, measureFast} {
		if err := part(ctx, cfg, &rep); err != nil {
			return rep, err
		}
	}
	return rep, nil
}
