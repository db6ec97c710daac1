// Package speed measures the data path of entry hosts that run as separate processes beside
// imitated engines: the time that a host adds to the first byte, the tokens per second that it
// forwards on one core, and the memory that it uses.
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
	modelFast  = "fast"  // tokens as fast as the engine generates them
	modelPaced = "paced" // 100 tokens a second
	modelIdle  = "idle"  // one token a second
)

// Config describes a measurement.
type Config struct {
	Layout            *local.Layout // its first host runs with GOMAXPROCS=1, its second without a limit
	OneCorePID        int           // process id of the first host
	UnrestrictedPID   int           // process id of the second
	Duration          time.Duration // of each part of the measurement
	RequestsPerSecond int           // for the time to the first byte
	IdleStreams       int           // streams of one token a second
	PacedStreams      int           // streams of 100 tokens a second each
	FastStreams       int           // streams as fast as the host can forward
}

// Report is the result of a measurement.
type Report struct {
	IdleMB                  float64        `json:"idle_rss_mb"`              // resident memory of a host without requests
	IdleStreams             int            `json:"idle_streams"`             // open at the same time
	KBPerIdleStream         float64        `json:"kb_per_idle_stream"`       // live heap and stacks that each stream adds
	StackKBPerIdleStream    float64        `json:"stack_kb_per_idle_stream"` // the stacks' part of that
	ResidentKBPerIdleStream float64        `json:"rss_kb_per_idle_stream"`   // resident memory that each stream adds, including garbage
	RequestsPerSecond       int            `json:"requests_per_second"`      // at which the times below were measured
	DirectMs                load.Quantiles `json:"direct_first_byte_ms"`     // engines called directly
	HostMs                  load.Quantiles `json:"host_first_byte_ms"`       // engines called through a host, in the same run
	AddedMs                 load.Quantiles `json:"added_first_byte_ms"`      // differences between the quantiles
	Paced                   Throughput     `json:"paced"`                    // every token is sent on its own, on time
	Fast                    Throughput     `json:"fast"`                     // tokens as fast as the host can forward
}

// Throughput is what a host on one core forwarded.
type Throughput struct {
	Streams         int     `json:"streams"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	CPUShare        float64 `json:"cpu_share"` // of the host's one core
}

// Run carries out the parts of the measurement one after the other. The hosts must have just
// started.
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
