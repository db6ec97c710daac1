package host

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/metrics"
)

// Guards against a forwarded request that is lost with its connection: the idle timeout that
// is configured for callers closes it while the other host still reuses it.
func TestTheCallersIdleTimeoutEndsNoHop(t *testing.T) {
	log := event.NewLog(nil)
	h := &Host{config: follow.NewActiveConfig(log), settings: &Settings{Detours: "127.0.0.1:0"}}
	h.config.ApplyIfNewer(&deploy.Config{Version: 1, Limits: deploy.Limits{IdleTimeout: time.Millisecond}}, "test")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.callers = newCallerServer(connlimit.New(connlimit.Config{}).Listen(ln, "callers"), http.HandlerFunc(ok), h.callerIdleTimeout, newConnLog(log, metrics.New(), nil), nil)
	defer h.closeListeners()
	assert.NilError(t, h.listenForDetours())
	assert.Equal(t, h.callers.idleTimeout(), time.Millisecond)
	assert.Assert(t, h.detours.idleTimeout() > 10*time.Second, "%v", h.detours.idleTimeout())
}
