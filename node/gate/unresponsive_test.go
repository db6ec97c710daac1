package gate

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/node/fleet"
)

// unresponsiveAfter is how long an upstream of these tests may send nothing before it
// is found unresponsive.
const unresponsiveAfter = 40 * time.Millisecond

// startFastDetectionHost starts a host whose upstreams are found unresponsive after a short
// time. Its only route is of the given kind, may be resumed and allows two attempts.
func startFastDetectionHost(t *testing.T, kind deploy.RequestKind, upstreams ...http.HandlerFunc) (host *httptest.Server, f *fleet.Fleet) {
	t.Helper()
	return startFastDetectionHostWith(t, plainCodec{}, kind, upstreams...)
}

// startFastDetectionHostWith is startFastDetectionHost with another codec.
func startFastDetectionHostWith(t *testing.T, codec Codec, kind deploy.RequestKind, upstreams ...http.HandlerFunc) (host *httptest.Server, f *fleet.Fleet) {
	t.Helper()
	g, _ := newGate(&noModelCoordinator{}, "")
	g.deps.Codec = codec
	policy := health.DefaultPolicy
	policy.UnresponsiveAfter, g.streamStay = unresponsiveAfter, unresponsiveAfter
	return startDetectionHost(t, g, policy, kind, upstreams...)
}

// startDetectionHost starts a host whose upstreams are found unresponsive by a policy.
func startDetectionHost(t *testing.T, g *Gate, policy health.Policy, kind deploy.RequestKind, upstreams ...http.HandlerFunc) (host *httptest.Server, f *fleet.Fleet) {
	t.Helper()
	f = fleet.New(fleet.Config{Health: policy}, fleet.Deps{Log: g.deps.Log})
	g.deps.Fleet = f
	for i, handler := range upstreams {
		up := httptest.NewServer(handler)
		t.Cleanup(up.Close)
		f.Apply([]deploy.Upstream{{ID: fmt.Sprintf("u%d", i), Service: "s", Address: up.Listener.Addr().String(), Slots: 4, Software: "v1"}}, nil, 0)
	}
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Routes = []deploy.Route{table.Routes[0]}
	table.Routes[0].Kind, table.Routes[0].Attempts, table.Routes[0].Resumable = kind, 2, true
	g.deps.Config.ApplyIfNewer(&table, "test")
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for each := time.NewTicker(policy.UnresponsiveAfter / 8); ; {
			select {
			case <-done:
				each.Stop()
				return
			case <-each.C:
				f.RunChecks()
			}
		}
	}()
	host = httptest.NewServer(g)
	t.Cleanup(host.Close)
	return host, f
}

// sendOne sends one request and reads its response.
func sendOne(t *testing.T, host *httptest.Server) (status int, body string, err error) {
	t.Helper()
	return sendBody(t, host, nil)
}

// sendBody sends one request with a body to a host.
func sendBody(t *testing.T, host *httptest.Server, data []byte) (status int, body string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL+"/x", bytes.NewReader(data))
	assert.NilError(t, err)
	r.Host = "example.com"
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(all), err
}

// writeEvent writes one event of a stream.
func writeEvent(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Type", eventStreamType)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
	_ = http.NewResponseController(w).Flush()
}

// Guards against a started stream that is cut off though its upstream is healthy and
// works on it: the upstream preempts the stream for more urgent ones and sends
// nothing for a while, and the attempt is ended before it is known whether another
// upstream could resume the stream.
func TestAStreamWithoutAnAlternativeStaysWithAnUnresponsiveUpstream(t *testing.T) {
	host, _ := startFastDetectionHost(t, deploy.Stream, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		time.Sleep(4 * unresponsiveAfter)
		writeEvent(w, 2)
	})
	status, body, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
}

// Guards against a lookup that fails though its upstream is about to respond: the
// only upstream of a service sends nothing for a while.
func TestARequestWithoutAnAlternativeStaysWithAnUnresponsiveUpstream(t *testing.T) {
	host, _ := startFastDetectionHost(t, deploy.Idempotent, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * unresponsiveAfter)
		_, _ = io.WriteString(w, "whole")
	})
	status, body, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
}

// Guards against a caller that waits for an unresponsive upstream though another could
// respond: the other is listed a while later, and alternatives are sought only once.
func TestARequestLeavesAnUnresponsiveUpstreamOnceThereIsAnother(t *testing.T) {
	asked := make(chan struct{})
	host, f := startFastDetectionHost(t, deploy.Idempotent, func(_ http.ResponseWriter, r *http.Request) {
		close(asked)
		<-r.Context().Done()
	})
	var runs atomic.Int32
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "whole")
	}))
	defer second.Close()
	go func() {
		<-asked
		time.Sleep(4 * unresponsiveAfter)
		f.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: second.Listener.Addr().String(), Slots: 4, Software: "v1"}}, nil, 0)
	}()
	began := time.Now()
	status, body, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	assert.Equal(t, runs.Load(), int32(1))
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against a started stream that is cut off though an upstream could have resumed
// it a moment later: the stream breaks off when its time to wait for an upstream is
// over, the other upstream is full for a little longer, and the wait is bounded as if
// the request could still be refused.
func TestAStartedStreamWaitsToBeResumed(t *testing.T) {
	host, f := startFastDetectionHost(t, deploy.Stream, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		time.Sleep(500 * time.Millisecond) // past an eighth of the route's objective
		panic(http.ErrAbortHandler)
	})
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) }))
	defer second.Close()
	f.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: second.Listener.Addr().String(), Slots: 4, Software: "v1"}}, nil, 0)
	e, _ := f.Entry("v")
	var others []*fleet.Attempt
	for range 12 { // its queue's bound
		others = append(others, e.Begin(&fleet.Request{}, fleet.Cost{}))
	}
	go func() {
		time.Sleep(700 * time.Millisecond)
		for _, x := range others {
			x.Refused()
		}
	}()
	status, body, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
}

// Guards against a large response that is cut off though its upstream continues it: a
// response too large to buffer has started, its upstream sends nothing for a while,
// another could take the request, and whether the response has started is checked
// only before the attempt.
func TestALargeResponseThatHasStartedStaysWithItsUpstream(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, maxBufferedBytes+4096))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(4 * unresponsiveAfter)
		_, _ = w.Write([]byte("end"))
	}
	host, _ := startFastDetectionHost(t, deploy.Idempotent, large, large)
	status, body, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(body), maxBufferedBytes+4096+len("end"))
}

// Guards against a lookup that fails though its upstream is about to respond: it has not
// responded after twice the route's objective, no other could take the lookup, and a
// slow attempt is ended without checking for an alternative.
func TestARequestWithoutAnAlternativeStaysWithASlowUpstream(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * hedgeFactor * slowObjective)
		_, _ = io.WriteString(w, "whole")
	}))
	defer up.Close()
	g, _ := newGate(&noModelCoordinator{}, up.Listener.Addr().String())
	changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts, r.Objective = deploy.Idempotent, 2, slowObjective })
	status, body, err := sendOne(t, startHost(t, g))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
}

// slowObjective is short, so that its multiples pass soon.
const slowObjective = 20 * time.Millisecond

// Guards against a lookup that is overdue though another upstream could have answered
// it: its upstream has not responded after twice the route's objective.
func TestARequestLeavesASlowUpstreamForAnother(t *testing.T) {
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer slow.Close()
	quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer quick.Close()
	g, f := newGate(&noModelCoordinator{}, slow.Listener.Addr().String())
	f.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: quick.Listener.Addr().String(), Slots: 4, Software: "v1"}}, nil, 0)
	v, _ := f.Entry("v")
	for range 3 { // so that it is not selected first
		defer v.Begin(&fleet.Request{}, fleet.Cost{}).Cancelled()
	}
	changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts, r.Objective = deploy.Idempotent, 2, slowObjective })
	began := time.Now()
	status, body, err := sendOne(t, startHost(t, g))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	assert.Assert(t, time.Since(began) >= hedgeFactor*slowObjective, "the first attempt was at the slow upstream")
	assert.Assert(t, time.Since(began) < 10*hedgeFactor*slowObjective, "%v", time.Since(began))
}

// refusingCodec treats a 503 as a refusal.
type refusingCodec struct{ plainCodec }

func (c refusingCodec) DecodeResponse(status int, h http.Header) ResponseInfo {
	a := c.plainCodec.DecodeResponse(status, h)
	a.NotRun = status == http.StatusServiceUnavailable
	return a
}

// Guards against a started stream that is cut off because the upstreams that could
// resume it refuse it for a moment.
func TestABegunStreamIsNotCutByUpstreamsThatRefuseIt(t *testing.T) {
	for _, upstreams := range []int{2, 8} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) {
			var calls atomic.Int32
			var began atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case calls.Add(1) == 1:
					began.Store(time.Now().UnixNano())
					writeEvent(w, 1)
					<-r.Context().Done()
				case time.Since(time.Unix(0, began.Load())) < 8*unresponsiveAfter:
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					writeEvent(w, 2)
				}
			}
			all := make([]http.HandlerFunc, upstreams)
			for i := range all {
				all[i] = serve
			}
			host, _ := startFastDetectionHostWith(t, refusingCodec{}, deploy.Stream, all...)
			status, body, err := sendOne(t, host)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
		})
	}
}
