package engine

import (
	"context"
	"time"

	"peridotpier.example/core/config"
)

// Default values of a Config, and bounds.
const (
	defaultMaxBatch        = 16
	defaultMaxQueue        = 256
	defaultMaxTokens       = 8192
	defaultAttemptLogSize  = 1 << 15                // attempts whose outcome is kept in full
	defaultMaxRecords      = 1 << 20                // executions kept, to be joined with the records of callers
	defaultResumeWindow    = 10 * time.Second       // a host that terminated is replaced by another within this time
	defaultPrefillChunk    = 512                    // prompt tokens computed in one step
	defaultFlushTokensFast = 16                     // tokens in one write when tokens cost no time
	maxStepLag             = 100 * time.Millisecond // a step loop that lags by more than this does not make up for the lost time
)

// Weights is the admission of loads by the weight store, as node/store describes
// it.
type Weights interface {
	// AcquireLoad requests admission for a load. It returns how long to wait
	// before the next request; 0: the load is admitted.
	AcquireLoad(ctx context.Context, load string) (wait time.Duration, err error)
	// ReleaseLoad ends the admission of a load.
	ReleaseLoad(ctx context.Context, load string) error
}

// Config holds the settings of one engine. The zero value of each field but Name
// means a default, or no cost, delay or limit where the field is one.
type Config struct {
	Name   string
	Listen string // IP:port, port 0 for any; "": 127.0.0.1:0

	MemoryMB    int     // 0: no limit
	MBPerSecond int     // rate at which weights are loaded; 0: at once
	Weights     Weights // nil: loads need no admission
	UnloadTime  time.Duration
	Fencing     config.Fencing

	MaxBatch  int
	MaxQueue  int
	MaxTokens int

	TokenTime        time.Duration            // duration of a step with one stream; 0: as fast as possible
	TokenTimes       map[string]time.Duration // by model, instead of TokenTime
	BatchSlope       float64                  // share of the step time that each additional stream adds
	PrefillPerToken  time.Duration            // for each prompt token that is not in the prefix cache
	PrefillChunk     int                      // maximum number of prompt tokens in one step
	PrefixSlots      int                      // number of prefixes that the cache can hold; 0: no cache
	PrefixSavedShare float64                  // share of a prompt's tokens that a cached prefix saves

	ReportInterval time.Duration // 0: a report is made when it is requested
	ReportLag      time.Duration // minimum age of the newest report that is served
	EventLag       time.Duration // delay after which cache events are published
	EventLoss      float64       // share of cache events that are never published

	ResumeWindow   time.Duration // how long an attempt without a reader continues
	FlushTokens    int           // tokens in one write; 0: 1, or defaultFlushTokensFast when tokens cost no time
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
