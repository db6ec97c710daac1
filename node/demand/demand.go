// Package demand measures the demand for each model and adapter: the number of
// requests in progress or waiting at once, averaged over a short and a long time.
// The planners use the sum over all hosts.
package demand

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpier.example/core/place"
)

// sampleInterval is the time between two samples of the concurrent requests.
const sampleInterval = time.Second

// negligible is the demand below which a key is removed.
const negligible = 0.001

const shardCount = 16

// Config sets the time constants of the two averages.
type Config struct {
	Short time.Duration
	Long  time.Duration
}

// DefaultConfig fits models whose demand changes tenfold within an hour, with bursts
// of seconds on top, which must not show in the long average.
func DefaultConfig() Config { return Config{Short: 30 * time.Second, Long: 5 * time.Minute} }

// Tracker counts requests by key, in shards, each under its own lock.
type Tracker struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	keys map[place.Key]*count
}

type count struct {
	inProgress int
	refused    int // since the last sample
	mean       place.Demand
}

// New creates a Tracker; Run samples it.
func New(cfg Config) *Tracker {
	if cfg.Short == 0 || cfg.Long == 0 {
		cfg = DefaultConfig()
	}
	t := &Tracker{cfg: cfg}
	for i := range t.shards {
		t.shards[i].keys = map[place.Key]*count{}
	}
	return t
}

// lockedCount returns a key's count, with its shard locked.
func (t *Tracker) lockedCount(k place.Key) (*shard, *count) {
	s := &t.shards[(xxhash.Sum64String(k.Model)^xxhash.Sum64String(k.Adapter))%shardCount]
	s.mu.Lock()
	c := s.keys[k]
	if c == nil {
		c = &count{}
		s.keys[k] = c
	}
	return s, c
}

// Begin counts a request from its arrival; End must follow.
func (t *Tracker) Begin(k place.Key) {
	s, c := t.lockedCount(k)
	c.inProgress++
	s.mu.Unlock()
}

// End counts the end of a request. A request that was refused for lack of capacity
// still counts as demand: it would have been in progress had it been admitted.
func (t *Tracker) End(k place.Key, refused bool) {
	s, c := t.lockedCount(k)
	c.inProgress--
	if refused {
		c.refused++
	}
	s.mu.Unlock()
}

// Run takes samples until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			t.Sample(sampleInterval)
		}
	}
}

// Sample updates the averages for the time elapsed since the last sample.
func (t *Tracker) Sample(elapsed time.Duration) {
	short, long := weight(elapsed, t.cfg.Short), weight(elapsed, t.cfg.Long)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.keys {
			now := float64(c.inProgress) + float64(c.refused)
			c.refused = 0
			c.mean.Short += short * (now - c.mean.Short)
			c.mean.Long += long * (now - c.mean.Long)
			if c.inProgress == 0 && c.mean.Short < negligible && c.mean.Long < negligible {
				delete(s.keys, k)
			}
		}
		s.mu.Unlock()
	}
}

// weight returns the weight of a new sample in an average, for the time elapsed since
// the last sample and the average's time constant.
func weight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// Means returns the demand on this host by key.
func (t *Tracker) Means() map[place.Key]place.Demand {
	out := map[place.Key]place.Demand{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.keys {
			out[k] = c.mean
		}
		s.mu.Unlock()
	}
	return out
}
