package follow

import (
	"context"
	"errors"
	"time"

	"peridotpier.example/node/pace"
)

// errRelayed ends the read of a list that another host has relayed in the meantime.
var errRelayed = errors.New("another host relayed the list")

// readParts reads the list of upstreams. Each part has its own timeout: a host with a
// slow link needs longer for a long list than a single answer may take, and would start
// again for ever. A host that others will relay to pauses between the parts: a list of
// several parts is mostly relayed before it is read.
func (f *Follower) readParts(ctx context.Context) (UpstreamUpdate, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(readTimeout, cancel)
	defer timer.Stop()
	parts := 0
	defer f.recordSize(false)
	more := func() error {
		timer.Stop()
		f.recordSize(true)
		parts++
		f.count(upstreamsFeed, fullRead)
		for left := time.Duration(parts) * partPauseStep; f.deps.OthersProbeFirst() && left > 0; left -= minRelayCheckInterval {
			if f.isRelayed() {
				return errRelayed
			}
			pace.Sleep(ctx, minRelayCheckInterval)
		}
		timer.Reset(readTimeout)
		return ctx.Err()
	}
	return f.deps.Source.ReadUpstreams(ctx, more)
}

// recordSize records whether the list has several parts.
func (f *Follower) recordSize(large bool) {
	f.sizeOnce.Do(func() {
		f.listIsLarge.Store(large)
		close(f.sizeKnown)
	})
}

// sizeWait is how long a host that others will relay to waits at its start for the first
// part of the list before it reads the configuration: the store answers within a few
// milliseconds, or has to be asked for both anyway.
const sizeWait = 100 * time.Millisecond

// waitForSize waits until it is known whether the list has several parts. If it has, the
// configuration is large, too, and a host that others will relay to leaves reading both
// to them.
func (f *Follower) waitForSize(ctx context.Context) {
	if !f.deps.OthersProbeFirst() || f.deps.NotNeededYet() {
		return
	}
	timer := time.NewTimer(sizeWait)
	defer timer.Stop()
	select {
	case <-f.sizeKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// partPauseStep is by how much longer a host that others will relay to waits before each
// further part of the list.
const partPauseStep = 300 * time.Millisecond
