package engine

import (
	"context"
	"time"

	"peridotpier.example/core/config"
)

// Defaults of a Config.
const (
	defaultMaxBatch        = 16
	defaultMaxQueue        = 256
	defaultMaxTokens       = 8192
	defaultAttemptLogSize  = 1 << 15                // attempts whose fate is told in full
	defaultMaxRecords      = 1 << 20                // executions kept for joining with callers' records
	defaultResumeWindow    = 10 * time.Second       // a caller's host that died is replaced by another within that
	defaultPrefillChunk    = 512                    // prompt tokens computed in one step
	defaultFlushTokensFast = 16                     // tokens a write when tokens cost no time
	maxStepLag             = 100 * time.Millisecond // a step loop that is later than this forgets the time it lost
)

// Weights is the weight store's admission, as node/store describes it.
type Weights interface {
	// Grant asks for a place for a load; it answers how long to wait, 0: granted.
	AcquireLoad(ctx context.Context, load string) (wait time.Duration, err error)
	// Done gives the place back.
	ReleaseLoad(ctx context.Context, load string) error
}

// Config describes one engine. The zero value of each field but Name stands
// for a default, or for no cost, no lag and no limit where a cost, lag or
// limit is named.
type Config struct {
	Name   string
	Listen string // IP:port, port 0 for any; "" is 127.0.0.1:0

	MemoryMB    int     // 0: not accounted
	MBPerSecond int     // how fast weights load; 0: at once
	Weights     Weights // nil: loads need no grant
	UnloadTime  time.Duration
	Fencing     config.Fencing

	MaxBatch  int
	MaxQueue  int
	MaxTokens int

	TokenTime        time.Duration            // one step of one stream alone; 0: as fast as possible
	TokenTimes       map[string]time.Duration // by model, in place of TokenTime
	BatchSlope       float64                  // share of the step time that each further stream adds
	PrefillPerToken  time.Duration            // prompt token that is not in the prefix cache
	PrefillChunk     int                      // prompt tokens in one step at most
	PrefixSlots      int                      // prefixes that the cache holds; 0: no cache
	PrefixSavedShare float64                  // share of a prompt's tokens that a cached prefix saves

	ReportInterval time.Duration // 0: each report is taken when it is asked for
	ReportLag      time.Duration // how old the newest report served is at least
	EventLag       time.Duration // cache events are published that late
	EventLoss      float64       // share of cache events never published

	ResumeWindow   time.Duration // how long an attempt without a reader goes on
	FlushTokens    int           // tokens a write; 0: 1, or defaultFlushFast when tokens cost no time
	AttemptLogSize int
	MaxRecords     int
	Seed           uint64
}

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.MaxQueue, defaultMaxQueue)
	setDefault(&c.MaxTokens, defaultMaxTokens)
	setDefault(&c.AttemptLogSize, defaultAttemptLogSize)
	setDefault(&c.MaxRecords, defaultMaxRecords)
	setDefault(&c.ResumeWindow, defaultResumeWindow)
	setDefault(&c.PrefillChunk, defaultPrefillChunk)
	if c.FlushTokens == 0 {
		c.FlushTokens = 1
		if c.TokenTime == 0 {
			c.FlushTokens = defaultFlushTokensFast
		}
	}
	return c
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
