package follow

import (
	"sync/atomic"

	"go.uber.org/zap"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
)

// ActiveConfig holds the configuration in force at this host. It never goes back to
// a lower version while the process lives.
type ActiveConfig struct {
	log          *event.Log
	active       atomic.Pointer[deploy.Table]
	firstApplied chan struct{}
	onChange     func() // called after each change; nil: nobody asks
}

// NewActiveConfig makes one with nothing in force.
func NewActiveConfig(log *event.Log) *ActiveConfig {
	return &ActiveConfig{log: log, firstApplied: make(chan struct{})}
}

// Current returns the table in force, or nil before the first.
func (c *ActiveConfig) Current() *deploy.Table { return c.active.Load() }

// FirstApplied is closed when a configuration is in force.
func (c *ActiveConfig) FirstApplied() <-chan struct{} { return c.firstApplied }

// OnChange has f called after each change. It is set before the first.
func (c *ActiveConfig) OnChange(f func()) { c.onChange = f }

// ApplyIfNewer puts a configuration in force if it is newer; source says where it
// came from.
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
		if c.onChange != nil {
			c.onChange()
		}
		return true
	}
}
