package gate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/poison"
	"peridotpier.example/node/quarantine"
)

// crashRecorder records what a gate reports about requests, and bars one target.
type crashRecorder struct {
	mu           sync.Mutex
	broken       []poison.Fingerprint
	completed    []poison.Fingerprint
	barredDigest poison.Digest
	barredUntil  time.Time
	heavy        atomic.Bool // parts of prompts are heavily suspected
}

func (b *crashRecorder) RecordBroken(_, _ string, _ time.Time, suspects []poison.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, suspects...)
}

func (b *crashRecorder) RecordCompleted(r *poison.Request, _ quarantine.Completion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completed = append(b.completed, r.Fingerprint(0))
}

func (b *crashRecorder) AnsweredBefore(*poison.Request) bool { return false }

func (b *crashRecorder) MayRepeat(*poison.Request) bool { return !b.heavy.Load() }

func (b *crashRecorder) Barred(r *poison.Request) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.barredUntil, r.Fingerprint(0).Digest == b.barredDigest
}

// bar bars a target from now on.
func (b *crashRecorder) bar(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.barredDigest, b.barredUntil = fingerprintOf(target).Digest, time.Now().Add(time.Minute)
}

// newCrashGate returns a gate with one upstream and a clock that the test moves.
func newCrashGate(t *testing.T, kind deploy.RequestKind, ahead *atomic.Int64, up http.HandlerFunc) (*Gate, *crashRecorder) {
	upstream := httptest.NewServer(up)
	t.Cleanup(func() { upstream.CloseClientConnections(); upstream.Close() })
	g, _ := newGateFor(deploy.Upstream{Address: upstream.Listener.Addr().String(), Slots: 4}, &noModelCoordinator{}, deploy.Route{Kind: kind, Objective: 3 * time.Second})
	b := &crashRecorder{}
	g.deps.CrashRecorder, g.deps.PoisonGuard = b, b
	g.deps.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	return g, b
}

func serve(g *Gate, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // a response that breaks off aborts its handler with a panic
		g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com"+target, nil))
	}()
	return w
}

func fingerprintOf(target string) poison.Fingerprint {
	return (&poison.Content{Method: http.MethodPost, Host: "example.com", Target: "http://example.com" + target}).Fingerprint()
}

func TestARequestWhoseExchangeBrokeIsRecorded(t *testing.T) {
	g, b := newCrashGate(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	assert.Equal(t, serve(g, "/a?b=c").Code, http.StatusBadGateway)
	assert.DeepEqual(t, b.broken, []poison.Fingerprint{fingerprintOf("/a?b=c")})
	assert.Equal(t, len(b.completed), 0)
}

func TestACompletedRequestIsRecorded(t *testing.T) {
	g, b := newCrashGate(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "whole") })
	assert.Equal(t, serve(g, "/a").Code, http.StatusOK)
	assert.DeepEqual(t, b.completed, []poison.Fingerprint{fingerprintOf("/a")})
	assert.Equal(t, len(b.broken), 0)
}

// Guards against clearing a request, and the parts of its prompt, by a failure: an upstream that
// crashes when it begins to write answers others of them with an error, or when their time is over.
func TestAFailedAnswerClearsNothing(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError, http.StatusGatewayTimeout} {
		g, b := newCrashGate(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		assert.Equal(t, serve(g, "/a").Code, status)
		assert.Equal(t, len(b.completed), 0)
	}
}

// Guards against blaming a stream that had run for long when its upstream terminated.
func TestAStreamThatHasRunForLongIsNotBlamed(t *testing.T) {
	for _, c := range []struct {
		ran    time.Duration
		blamed int
	}{{longRun / 2, 1}, {2 * longRun, 0}} {
		ahead := new(atomic.Int64)
		g, b := newCrashGate(t, deploy.Stream, ahead, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond) // until the gate has read it
			ahead.Store(int64(c.ran))
			panic(http.ErrAbortHandler)
		})
		serve(g, "/a")
		assert.Equal(t, len(b.broken), c.blamed)
		assert.Equal(t, len(b.completed), 1-c.blamed)
	}
}

// Guards against clearing a request by comments that its upstream sends while it waits: the upstream
// crashes when it begins to write the answer.
func TestCommentsAreNoRun(t *testing.T) {
	ahead := new(atomic.Int64)
	g, b := newCrashGate(t, deploy.Stream, ahead, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStreamType)
		for range 2 {
			_, _ = fmt.Fprint(w, ": waiting\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond) // until the gate has read it
			ahead.Add(int64(2 * longRun))
		}
		panic(http.ErrAbortHandler)
	})
	serve(g, "/a")
	assert.Equal(t, len(b.completed), 0)
	assert.DeepEqual(t, b.broken, []poison.Fingerprint{fingerprintOf("/a")})
}

// Guards against clearing a request by a stream that ends before its answer was begun.
func TestAStreamWithoutDataClearsNothing(t *testing.T) {
	for body, completed := range map[string]int{"": 0, ": waiting\n\n": 0, "id: 1\ndata: a\n\n": 1} {
		g, b := newCrashGate(t, deploy.Stream, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			_, _ = fmt.Fprint(w, body)
		})
		assert.Equal(t, serve(g, "/a").Code, http.StatusOK)
		assert.Equal(t, len(b.completed), completed, "%q", body)
	}
}

func TestABarredRequestIsRefusedAndReachesNoUpstream(t *testing.T) {
	var reached atomic.Int32
	g, b := newCrashGate(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { reached.Add(1); _, _ = fmt.Fprint(w, "whole") })
	b.bar("/a")
	w := serve(g, "/a")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	after := retryAfter(w.Result().Header)
	assert.Assert(t, after > 50*time.Second && after <= time.Minute+maxRetrySpread, "%s", after)
	assert.Equal(t, reached.Load(), int32(0))
	assert.Equal(t, serve(g, "/b").Code, http.StatusOK)
}

// Guards against a request that terminates one more upstream although it was barred
// while it waited, or between two of its attempts.
func TestARequestBarredBetweenAttemptsIsNotSentAgain(t *testing.T) {
	var reached atomic.Int32
	bar := make(chan func(string), 1)
	g, b := newCrashGate(t, deploy.Idempotent, new(atomic.Int64), func(http.ResponseWriter, *http.Request) {
		reached.Add(1)
		(<-bar)("/a")
		panic(http.ErrAbortHandler)
	})
	bar <- b.bar
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Routes[0].Attempts = 3
	g.deps.Config.ApplyIfNewer(&table, "test")
	one := g.deps.Fleet.EntriesOfService("s")[0]
	g.deps.Fleet.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: one.Address(), Slots: 4, Software: "v1"}}, nil, 0)
	assert.Equal(t, serve(g, "/a").Code, http.StatusBadGateway, "nothing is promised about a request that may have run")
	assert.Equal(t, reached.Load(), int32(1))
}

// Guards against a request with a heavily suspected part that crashes several upstreams before a host can
// tell another one of it.
func TestARequestWithAHeavySuspectIsNotSentAgainAfterACrash(t *testing.T) {
	var reached atomic.Int32
	var answers atomic.Bool
	g, b := newCrashGate(t, deploy.Idempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		if !answers.Load() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	changeRoute(g, func(r *deploy.Route) { r.Attempts = 2 })
	one := g.deps.Fleet.EntriesOfService("s")[0]
	g.deps.Fleet.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: one.Address(), Slots: 4, Software: "v1"}}, nil, 0)
	b.heavy.Store(true)
	assert.Equal(t, serve(g, "/a").Code, http.StatusBadGateway)
	assert.Equal(t, reached.Swap(0), int32(1))
	answers.Store(true)
	assert.Equal(t, serve(g, "/a").Code, http.StatusInternalServerError)
	assert.Equal(t, reached.Load(), int32(2), "a failed answer is no crash")
}

// Guards against barring what belongs to one request or its session only: the last part of a
// prompt identifies no other request.
func TestSharedPartsAreAllButTheLast(t *testing.T) {
	for parts, shared := range map[int]int{0: 0, 1: 0, 2: 1, 3: 2} {
		p := make(sharedParts, parts)
		assert.Equal(t, p.Len(), shared)
	}
}
