package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/budget"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/upstream/conn"
)

// Guards against a data race: a dial fails by itself while a cut is noticed.
func TestADialMayFailWhileItIsDiverted(t *testing.T) {
	t.Parallel()
	for range 3 {
		g := withDetour(newHopGate("127.0.0.1:1", deploy.NonIdempotent, 1), stubDetour{needed: func() bool { return false }})
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					g.holds.divert()
				}
			}
		}()
		w := httptest.NewRecorder()
		func() {
			defer func() { _ = recover() }()
			g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com/x", strings.NewReader("")))
		}()
		close(stop)
	}
}

// Guards against a repeatable request that is cancelled at the only host that takes it.
func TestASlowRequestStaysAtTheOnlyHost(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	})
	short := func(g *Gate) *Gate {
		changeRoute(g, func(r *deploy.Route) { r.Objective = 100 * time.Millisecond })
		return g
	}
	helper := short(newHopGate(up, deploy.Idempotent, 3))
	host := lendAt(t, http.HandlerFunc(helper.ServeForwarded))
	status, body := sendTo(t, withDetour(short(newHopGate(up, deploy.Idempotent, 3)), stubDetour{needed: always, hosts: []string{host}}))
	assert.Equal(t, status, http.StatusOK, body)
}

// Guards against a repeatable request that is cancelled for a detour that there is not.
func TestASlowRequestStaysWhereItRunsWhileNoHostTakesIt(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		cut.Store(true)
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	})
	g := newHopGate(up, deploy.Idempotent, 3)
	changeRoute(g, func(r *deploy.Route) { r.Objective = 100 * time.Millisecond })
	status, body := sendTo(t, withDetour(g, stubDetour{needed: cut.Load}))
	assert.Equal(t, status, http.StatusOK, body)
}

// Guards against a stream that counts as broken inside an event by what an earlier response ended with.
func TestAnEmptyContinuationThroughAHostIsComplete(t *testing.T) {
	t.Parallel()
	run := func(detoured bool) (int, string, int32, error) {
		var n atomic.Int32
		var cut atomic.Bool
		up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			if n.Add(1) == 1 {
				writeEvent(w, 1)
				_, _ = io.WriteString(w, "id: 2\nda")
				_ = http.NewResponseController(w).Flush()
				cut.Store(detoured)
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Type", eventStreamType)
			_ = http.NewResponseController(w).Flush()
		})
		resumable := func(g *Gate) *Gate {
			changeRoute(g, func(r *deploy.Route) { r.Resumable = true; r.Timeout = 2 * time.Second })
			return g
		}
		host := lendAt(t, http.HandlerFunc(resumable(newHopGate(up, deploy.Stream, 3)).ServeForwarded))
		host2 := lendAt(t, http.HandlerFunc(resumable(newHopGate(up, deploy.Stream, 3)).ServeForwarded))
		entry := withDetour(resumable(newHopGate(up, deploy.Stream, 3)), stubDetour{needed: cut.Load, hosts: []string{host, host2}})
		s, b, err := sendOne(t, startHost(t, entry))
		return s, b, n.Load(), err
	}
	s, b, n, err := run(false)
	t.Logf("direct: %d %q %v, %d requests", s, b, err, n)
	s, b, n, err = run(true)
	t.Logf("hop: %d %q %v, %d requests", s, b, err, n)
	assert.NilError(t, err)
	assert.Equal(t, n, int32(2))
}

// Guards against a frozen host that each request is offered to first.
func TestAHostThatDoesNotAnswerComesAfterTheOthers(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	var offered atomic.Int32
	frozen := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		offered.Add(1)
		<-r.Context().Done()
	}))
	set := func(g *Gate) *Gate {
		changeRoute(g, func(r *deploy.Route) { r.Objective, r.Timeout = 100*time.Millisecond, time.Second })
		return g
	}
	for _, kind := range []deploy.RequestKind{deploy.Idempotent, deploy.NonIdempotent} {
		offered.Store(0)
		host := lendAt(t, http.HandlerFunc(set(newHopGate(up, kind, 3)).ServeForwarded))
		entry := startHost(t, withDetour(set(newHopGate(up, kind, 3)), stubDetour{needed: always, hosts: []string{frozen, host}}))
		served := 0
		for range 5 {
			if s, _, _ := sendOne(t, entry); s == 200 {
				served++
			}
		}
		t.Logf("%v: %d of 5 served, %d offered to the frozen host", kind, served, offered.Load())
		assert.Check(t, offered.Load() <= 2, "%d requests went to the frozen host", offered.Load())
	}
}

// Guards against headers between hosts that a caller has set and an upstream gets.
func TestHopHeadersOfACallerReachNoUpstream(t *testing.T) {
	t.Parallel()
	var got http.Header
	up := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		_, _ = io.WriteString(w, "answer")
	})
	send := func(g *Gate) (*http.Response, http.Header) {
		host := startHost(t, g)
		r, _ := http.NewRequest(http.MethodPost, host.URL+"/x", strings.NewReader("b"))
		r.Host = "example.com"
		r.Header.Set(hopFrom, "forged")
		r.Header.Set(hopSends, "99")
		r.Header.Set(hopCharged, "1")
		r.Header.Set(hopVersion, "999")
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		return resp, resp.Header
	}
	resp, h := send(newHopGate(up, deploy.NonIdempotent, 1))
	t.Log("direct", resp.StatusCode, h, "upstream saw", got)
	direct := got.Get(hopFrom)
	host := lendAt(t, http.HandlerFunc(newHopGate(up, deploy.NonIdempotent, 1).ServeForwarded))
	resp, h = send(withDetour(newHopGate(up, deploy.NonIdempotent, 1), stubDetour{needed: always, hosts: []string{host}}))
	t.Log("hop", resp.StatusCode, h, "upstream saw", got)
	assert.Check(t, resp.StatusCode == 200 && h.Get(hopOutcome) == "" && got.Get(hopFrom) == "")
	assert.Check(t, direct == "", "upstreams see %q", direct)
}

// Guards against an upstream that refuses a request once for each host that forwards it.
func TestARefusalOfAnUpstreamIsNoRefusalOfAHost(t *testing.T) {
	t.Parallel()
	var asked atomic.Int32
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for _, kind := range []deploy.RequestKind{deploy.Idempotent, deploy.NonIdempotent} {
		asked.Store(0)
		s, b := sendTo(t, newHopGate(up, kind, 2))
		direct := asked.Swap(0)
		t.Logf("%v direct: %d %q, asked %d times", kind, s, b, direct)
		var hosts []string
		for range 4 {
			hosts = append(hosts, lendAt(t, http.HandlerFunc(newHopGate(up, kind, 2).ServeForwarded)))
		}
		s, b = sendTo(t, withDetour(newHopGate(up, kind, 2), stubDetour{needed: always, hosts: hosts}))
		t.Logf("%v hop: %d %q, asked %d times", kind, s, b, asked.Load())
		assert.Check(t, asked.Load() <= direct)
	}
}

// Guards against a data race: an attempt is diverted while another upstream is sought for it.
func TestASearchEndsBeforeItsAttemptIsForgotten(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	helper := newHopGate(up, deploy.Idempotent, 3)
	changeRoute(helper, func(*deploy.Route) {}) // no older configuration
	host := lendAt(t, http.HandlerFunc(helper.ServeForwarded))
	for range 5 {
		var cut atomic.Bool
		g := newHopGate(up, deploy.Idempotent, 3)
		changeRoute(g, func(r *deploy.Route) { r.Objective = time.Millisecond })
		g.deps.Client = conn.New(conn.Config{Dialer: hangingDialer{up}})
		entry := withDetour(g, stubDetour{needed: cut.Load, hosts: []string{host}})
		time.AfterFunc(20*time.Millisecond, func() { cut.Store(true); entry.holds.divert() })
		status, body := sendTo(t, entry)
		assert.Equal(t, status, http.StatusOK, body)
	}
}

// hangingDialer opens no connection to one address, and those to others.
type hangingDialer struct{ hangs string }

// DialContext implements conn.Dialer.
func (d hangingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address != d.hangs {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// resumeHopCodec is a hopCodec that says after which event a stream goes on.
type resumeHopCodec struct{ hopCodec }

func (resumeHopCodec) SetForwarded(h http.Header, _ time.Duration, lastEventID string) {
	setLastEvent(h, lastEventID)
}

func (resumeHopCodec) SetAttempt(h http.Header, info AttemptInfo) { setLastEvent(h, info.LastEventID) }

func setLastEvent(h http.Header, id string) {
	if id != "" {
		h.Set("Last-Event-Id", id)
	}
}

// Guards against a caller that waits for a host which froze in the middle of a stream until
// the route's time is up, though another host could go on, and against the requests after it
// that are offered to the frozen host first, which has the fewest.
func TestAStreamLeavesAHostThatFallsSilent(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		for n := 1; n <= 3; n++ {
			if strconv.Itoa(n) > r.Header.Get("Last-Event-Id") {
				writeEvent(w, n)
			}
		}
	})
	resumable := func(g *Gate) *Gate {
		changeRoute(g, func(r *deploy.Route) { r.Resumable, r.Timeout = true, 10*time.Second })
		g.deps.Codec = resumeHopCodec{}
		return g
	}
	var taken atomic.Int32 // by the frozen host
	frozen := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken.Add(1)
		resumable(newHopGate(startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			writeEvent(w, 1)
			<-r.Context().Done()
		}), deploy.Stream, 3)).ServeForwarded(w, r)
	}))
	sound := lendAt(t, http.HandlerFunc(resumable(newHopGate(up, deploy.Stream, 3)).ServeForwarded))
	entry := withDetour(resumable(newHopGate(up, deploy.Stream, 3)), stubDetour{needed: always, hosts: []string{frozen, sound}})
	began := time.Now()
	status, body := sendTo(t, entry)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 3, body)
	assert.Assert(t, time.Since(began) < 2*hopSilence, "%v", time.Since(began))
	status, body = sendTo(t, entry)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 3, body)
	assert.Equal(t, taken.Load(), int32(1))
}

// Guards against a request that is taken from a helping host which holds it, as this one
// would, until an upstream takes it: it loses its place there, counts as one that may have
// run, and is told of as that if it is refused later.
func TestARequestStaysWithAHostThatHoldsIt(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	patient := func() *Gate {
		g := newHopGate(up, deploy.Idempotent, 2)
		changeRoute(g, func(r *deploy.Route) { r.Objective = 4 * time.Second })
		return g
	}
	var offered atomic.Int32
	holding := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		offered.Add(1)
		select {
		case <-time.After(hopSilence + 500*time.Millisecond): // within the hold of the route
		case <-r.Context().Done():
		}
		patient().ServeForwarded(w, r)
	}))
	other := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		offered.Add(1)
		patient().ServeForwarded(w, r)
	}))
	status, body := sendTo(t, withDetour(patient(), stubDetour{needed: always, hosts: []string{holding, other}}))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "answer")
	assert.Equal(t, offered.Load(), int32(1))
}

// Guards against a stream that goes on through another host at another software version:
// the version must be carried over the hop, and an answer of another one dropped.
func TestAStreamGoesOnAtItsVersionOverAHop(t *testing.T) {
	t.Parallel()
	var asked atomic.Int32 // of the upstream of another version, by the host that knows of versions
	version := func(name string, breaks bool) string {
		return startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			if name == "v2" && r.Header.Get("Earlier") == "" {
				asked.Add(1)
			}
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: from the start
			w.Header().Set("Content-Type", eventStreamType)
			for n := last + 1; n <= 4; n++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, name)
				if breaks && n == 2 {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}
		})
	}
	first, second, sound := version("v1", true), version("v2", false), version("v1", false)
	lend := func(attempts int, upstreams ...deploy.Upstream) *Gate {
		g := newHopGate(first, deploy.Stream, attempts)
		changeRoute(g, func(r *deploy.Route) { r.Resumable, r.Timeout = true, 2*time.Second })
		g.deps.Codec = resumeHopCodec{}
		g.deps.Fleet.Apply(upstreams, []string{"u"}, 0)
		return g
	}
	at := func(id, address, software string) deploy.Upstream {
		return deploy.Upstream{ID: id, Service: "s", Address: address, Slots: 4, Software: software}
	}
	breaking := lendAt(t, http.HandlerFunc(lend(1, at("a", first, "v1")).ServeForwarded))
	both := lendAt(t, http.HandlerFunc(lend(4, at("b", second, "v2"), at("c", sound, "v1")).ServeForwarded))
	earlier := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { // of a release without versions
		r.Header.Del(hopBegan)
		r.Header.Set("Earlier", "1")
		lend(4, at("b", second, "v2")).ServeForwarded(w, r)
	}))
	for range 4 {
		entry := withDetour(lend(6, at("a", first, "v1")), stubDetour{needed: always, hosts: []string{breaking, earlier, both}})
		status, body := sendTo(t, entry)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, strings.Count(body, "data: v1"), 4, body)
		assert.Equal(t, strings.Count(body, "data: v2"), 0, body)
	}
	assert.Equal(t, asked.Load(), int32(0))
}

// Guards against a repeat that nobody counts: the helping host sent the request, an upstream
// refused it, and the host then says that another host may take it.
func TestWhatAHostSentBeforeItRefusedIsCounted(t *testing.T) {
	t.Parallel()
	var ran atomic.Int32
	up := startUpstream(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	refusing := lendAt(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hopOutcome, string(hopHostRefused))
		w.Header().Set(hopSends, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	other := lendAt(t, http.HandlerFunc(newHopGate(up, deploy.Idempotent, 3).ServeForwarded))
	entry := withDetour(newHopGate(up, deploy.Idempotent, 3), stubDetour{needed: always, hosts: []string{refusing, other}})
	entry.deps.RetryBudget = NewRetryBudget(budget.Policy{Window: time.Second}, poolOf(0))
	status, body := sendTo(t, entry)
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, ran.Load(), int32(0))
}
