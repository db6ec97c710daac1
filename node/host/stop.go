package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/pace"
)

const (
	// balancerNotice is how long the load balancer goes on sending new connections after
	// the host reports that it is not ready: two health checks a second apart, and
	// the transit time of the last connection.
	balancerNotice = 2500 * time.Millisecond
	// stopCheckInterval is how often a stop checks whether requests are left.
	stopCheckInterval = 50 * time.Millisecond
	// stopReserve is the part of the grace period that is kept for the last writes and
	// the end of the process.
	stopReserve = 700 * time.Millisecond
	// finalAnswerTimeout is how long the last answers may take to be written after
	// the remaining requests were aborted.
	finalAnswerTimeout = 250 * time.Millisecond
)

// stopOn waits for ctx to end and stops the host. Callers are still served until the
// load balancer has removed the host; closing at once would cut off connections in transit.
// Current requests are finished as long as the grace period allows. If work ends
// first, an essential part of the host has failed, and stopOn returns.
func (h *Host) stopOn(ctx, work context.Context) error {
	defer close(h.stopped)
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	began := time.Now()
	h.draining.Store(true)
	h.fleet.WakeChecks() // the next check releases the waiting requests
	h.log.Emit(event.HostStopping, zap.Int("active", h.active()))
	grace := seconds(h.settings.Bounds.GraceS) - stopReserve
	wait := context.WithoutCancel(ctx)
	pace.Sleep(wait, min(balancerNotice, grace/2))
	h.closing.Store(true)
	h.closeListeners()
	for h.drainStep()+h.deps.Client.Uploads() > 0 && time.Since(began) < grace {
		pace.Sleep(wait, stopCheckInterval)
	}
	h.abortRequests()
	for until := time.Now().Add(finalAnswerTimeout); h.drainStep() > 0 && time.Now().Before(until); {
		pace.Sleep(wait, stopCheckInterval/5)
	}
	h.logStopped(time.Since(began))
	return nil
}

// logStopped logs how long the stop took, and the requests and connections that are
// still open.
func (h *Host) logStopped(took time.Duration) {
	n := h.callers.conns.counts()
	h.deps.Metrics.Observe(metrics.ShutdownTime, "host", took)
	h.log.Emit(event.HostStopped, zap.Int("cut", h.active()), zap.Duration("took", took),
		zap.Int("open", n.open), zap.Int("under_way", n.underWay), zap.Int("unanswered", n.unanswered), zap.Int("new", n.new))
}

// handleReloads reads the settings again on each reload signal and logs which keys
// changed. The settings in use since the start stay in use: addresses cannot change
// under open connections.
func (h *Host) handleReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.deps.ReloadSignal:
			next, err := h.deps.ReloadSettings()
			if err != nil {
				h.log.Emit(event.SettingsUnusable, zap.Error(err))
				continue
			}
			h.log.Emit(event.SettingsReloaded, zap.Strings("changed", h.settings.changedKeys(next)))
		}
	}
}
