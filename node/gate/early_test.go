package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/core/deploy"
)

// startEarlyUpstream answers each request before it reads its body, states no end of the
// answer, and closes its connection with the rest unread.
func startEarlyUpstream(t *testing.T, answer string) (address string) {
	t.Helper()
	return acceptEach(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, answer)
		time.Sleep(time.Millisecond)
	})
}

// Guards against a caller that gets a part of an answer as all of it, since the connection to
// the upstream ended while the request was written: each kind of route, direct and through
// another host.
func TestACutEarlyAnswerReachesNoCallerAsWhole(t *testing.T) {
	t.Parallel()
	const tries = 10
	events := "HTTP/1.1 200 X\r\n" + ownAnswer + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	for name, answer := range map[string]string{"text": "HTTP/1.1 200 X\r\n" + ownAnswer + "\r\npart", "events": events} {
		for kind, change := range map[string]func(r *deploy.Route){
			"call":             func(r *deploy.Route) { r.Kind = deploy.NonIdempotent },
			"repeatable call":  func(r *deploy.Route) { r.Kind = deploy.Idempotent },
			"stream":           func(r *deploy.Route) { r.Kind = deploy.Stream },
			"resumable stream": func(r *deploy.Route) { r.Kind, r.Resumable = deploy.Stream, true },
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				up := startEarlyUpstream(t, answer)
				direct, entry, helper := newHopGate(up, deploy.NonIdempotent, 1), newHopGate("127.0.0.1:1", deploy.NonIdempotent, 1), newHopGate(up, deploy.NonIdempotent, 1)
				for _, g := range []*Gate{direct, entry, helper} {
					changeRoute(g, func(r *deploy.Route) { change(r); r.Timeout = 3 * time.Second })
				}
				hosts := []string{lendAt(t, http.HandlerFunc(helper.ServeForwarded))}
				for _, g := range []*Gate{direct, withDetour(entry, stubDetour{needed: always, hosts: hosts})} {
					host := startHost(t, g)
					for range tries {
						status, body, err := sendBody(t, host, make([]byte, 4<<20))
						assert.Assert(t, err != nil || status >= http.StatusBadGateway, "%d %q looks whole", status, body)
						assert.Assert(t, status != http.StatusServiceUnavailable, "it may have run")
					}
				}
			})
		}
	}
}

// Guards against a body that is held outside the account of what clients hold: it is written on
// after its caller has its answer, and has left.
func TestABodyThatIsWrittenOnIsAccountedFor(t *testing.T) {
	t.Parallel()
	const size = 8 << 20
	readOn, got := make(chan struct{}), make(chan int64, 1)
	address := acceptEach(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, textAnswer(http.StatusOK, ownAnswer, "done"))
		<-readOn
		n, _ := io.Copy(io.Discard, r.Body)
		got <- n
	})
	g, _ := newGate(&noModelCoordinator{}, address)
	g.deps.Codec = namedCodec{}
	changeRoute(g, func(r *deploy.Route) { r.Kind = deploy.NonIdempotent })
	changeLimits(g, size)
	var held atomic.Int64
	g.deps.RetainBody = func(n int64) func() { held.Add(n); return func() { held.Add(-n) } }
	host := startHost(t, g)
	status, body, err := sendBody(t, host, make([]byte, size))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "done")
	assert.Equal(t, held.Load(), int64(size))
	host.CloseClientConnections()
	close(readOn)
	assert.Equal(t, <-got, int64(size))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := held.Load(); n != 0 {
			return poll.Continue("%d bytes are held", n)
		}
		return poll.Success()
	})
}

// changeLimits sets the largest body that a gate's callers may send.
func changeLimits(g *Gate, bodyBytes int) {
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Limits.BodyBytes = bodyBytes
	g.deps.Config.ApplyIfNewer(&table, "test")
}
