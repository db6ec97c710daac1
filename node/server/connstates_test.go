package server

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/metrics"
)

// Guards against a log that does not show what became of a stopped host's
// connections: the host stops with an idle connection, one with a request and one
// on which no byte was received, and only the requests that were cut off are
// counted.
func TestShutdownReportsOpenConnections(t *testing.T) {
	set := metrics.New()
	states := newConnStates(set)
	release := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	}))
	srv.Config.ConnState = states.onStateChange
	srv.Start()
	defer srv.Close()
	defer close(release)
	dial := func(send string) {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, send)
		assert.NilError(t, err)
	}
	until := func(want stateCounts) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := states.counts(); n != want {
				return poll.Continue("is %+v", n)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	dial("")
	dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	until(stateCounts{open: 2, new: 1})
	dial("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	until(stateCounts{open: 3, active: 1, new: 1})
	states.markStopping()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = srv.Config.Shutdown(t.Context())
	}()
	until(stateCounts{open: 2, active: 1, new: 1, idleClosed: 1})
	var text strings.Builder
	set.WriteText(&text)
	for _, line := range []string{"caller_connections_accepted_total 3\n", "caller_connections_closed_total.idle 1\n", "caller_connections_open 2\n"} {
		assert.Assert(t, strings.Contains(text.String(), line), "no %q in\n%s", line, text.String())
	}
	_ = srv.Config.Close()
	<-stopped
}
