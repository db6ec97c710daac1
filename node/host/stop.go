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
	// balancerNotice is how long the balancer goes on sending new connections
	// after the host says that it is not ready: two questions a second apart,
	// and the way of the last connection.
	balancerNotice = 2500 * time.Millisecond
	// stopCheckInterval is how often the stop looks whether it is over.
	stopCheckInterval = 50 * time.Millisecond
	// stopReserve is kept of the grace for the last writes and the end of the process.
	stopReserve = 700 * time.Millisecond
	// finalAnswerTimeout is how long the last answers may take to be written.
	finalAnswerTimeout = 250 * time.Millisecond
)

// stopOn waits for ctx to end and stops the host. Callers are still served
// while the balancer takes the host out; closing at once would cut off what is
// on its way. Requests under way are finished as long as the grace allows.
// When work ends first, something that the host cannot do without has failed.
func (h *Host) stopOn(ctx, work context.Context) error {
	defer close(h.stopped)
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	began := time.Now()
	h.draining.Store(true)
	h.fleet.WakeChecks() // those who wait are let go by the next look
	h.log.Emit(event.HostStopping, zap.Int("active", h.callers.drain.Active()))
	grace := seconds(h.settings.Bounds.GraceS) - stopReserve
	wait := context.WithoutCancel(ctx)
	pace.Sleep(wait, min(balancerNotice, grace/2))
	h.closing.Store(true)
	h.callers.closeListener()
	for h.callers.drainStep() > 0 && time.Since(began) < grace {
		pace.Sleep(wait, stopCheckInterval)
	}
	h.abortRequests()
	for until := time.Now().Add(finalAnswerTimeout); h.callers.drainStep() > 0 && time.Now().Before(until); {
		pace.Sleep(wait, stopCheckInterval/5)
	}
	h.logStopped(time.Since(began))
	return nil
}

// logStopped logs what the end of the process finds open.
func (h *Host) logStopped(took time.Duration) {
	n := h.callers.conns.counts()
	h.deps.Metrics.Observe(metrics.ShutdownTime, "host", took)
	h.log.Emit(event.HostStopped, zap.Int("cut", h.callers.drain.Active()), zap.Duration("took", took),
		zap.Int("open", n.open), zap.Int("under_way", n.underWay), zap.Int("unanswered", n.unanswered), zap.Int("new", n.new))
}

// handleReloads reads the settings again when told to. What is in use since the
// start stays: addresses cannot change under open connections.
func (h *Host) handleReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.deps.ReloadSignal:
			next, err := h.deps.ReloadSettings()
			if err != nil {
				h.log.Emit(event.SettingsBad, zap.Error(err))
				continue
			}
			h.log.Emit(event.SettingsReread, zap.Strings("changed", h.settings.changedKeys(next)))
		}
	}
}
