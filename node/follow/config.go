package follow

import (
	"sync/atomic"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
)

// ActiveConfig holds the configuration in force at this host. While the process runs, it
// never goes back to a lower version.
type ActiveConfig struct {
	log          *event.Log
	active       atomic.Pointer[deploy.Table]
	firstApplied chan struct{}
	onChange     func() // called after each change; nil: not called
}

// NewActiveConfig returns an ActiveConfig without a configuration in force.
func NewActiveConfig(log *event.Log) *ActiveConfig {
	return &ActiveConfig{log: log, firstApplied: make(chan struct{})}
}

// Current returns the table in force, or nil before the first one.
func (c *ActiveConfig) Current() *deploy.Table { return c.active.Load() }

// FirstApplied returns a channel that is closed when a configuration is in force.
func (c *ActiveConfig) FirstApplied() <-chan struct{} { return c.firstApplied }

// OnChange sets fn to be called after each change. It must be called before the first
// configuration is applied.
func (c *ActiveConfig) OnChange(fn func()) { c.onChange = fn }

// ApplyIfNewer puts a configuration in force if it is newer than the current one, and
// reports whether it did; source names where it came from.
func (c *ActiveConfig) ApplyIfNewer(next *deploy.Config, source string) bool {
	var table *deploy.Table
	if err := recoverPanic(func() error { table = deploy.NewTable(next); return nil }); err != nil {
		c.log.Emit(event.RoutesUnusable, zap.Error(err))
		return false
	}
	for {
		old := c.active.Load()
		if old != nil && old.Config.Version >= next.Version {
			return false
		}
		if !c.active.CompareAndSwap(old, table) {
			continue
		}
		oldVersion := uint64(0)
		if old != nil {
			oldVersion = old.Config.Version
		} else {
			close(c.firstApplied)
		}
		c.log.Emit(event.RoutesInForce, zap.Uint64("version", next.Version), zap.Uint64("was", oldVersion),
			zap.String("source", source), zap.Int("routes", len(next.Routes)), zap.Int("services", len(next.Services)))
		if len(next.Ignored) > 0 {
			c.log.Emit(event.ConfigValuesIgnored, zap.Uint64("version", next.Version), zap.Strings("values", next.Ignored))
		}
		if c.onChange != nil {
			c.onChange()
		}
		return true
	}
}
