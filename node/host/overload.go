package host

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/shed"
)

// overload measures whether this host's processor can serve its callers. Each probe is a
// byte in a pipe: its reader waits for the processor as those do that wait for upstreams.
type overload struct {
	*shed.Controller
	r, w   *os.File
	sentAt chan time.Time
}

// newOverload returns a monitor whose Run must be called.
func (h *Host) newOverload() (*overload, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "open pipe of probes")
	}
	o := &overload{Controller: shed.New(nil, nil), r: r, w: w, sentAt: make(chan time.Time, 1)}
	o.Probe = o.probe
	o.OnChange = func(closes bool, shortest time.Duration) {
		h.log.Emit(event.ConnectionsClosedUnread, zap.Bool("closes", closes), zap.Int64("shortest_wait_ms", shortest.Milliseconds()))
	}
	h.deps.Metrics.SetFunc(metrics.UnreadShare, func() any { return o.Share() })
	return o, nil
}

// probe sends a byte through the pipe. At most one is on its way.
func (o *overload) probe() {
	o.sentAt <- time.Now()
	_, _ = o.w.Write([]byte{0}) // fails when the host stops
}

// run reads the probes until ctx ends.
func (o *overload) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _, _ = o.r.Close(), o.w.Close() })()
	b := make([]byte, 1)
	for {
		if _, err := o.r.Read(b); err != nil {
			return ctx.Err()
		}
		o.Observe(time.Since(<-o.sentAt))
	}
}
