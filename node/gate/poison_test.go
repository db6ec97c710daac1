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
)

// blamed keeps what a gate tells of requests, and bars one target.
type blamed struct {
	mu     sync.Mutex
	broken []poison.Fingerprint
	ran    []poison.Fingerprint
	bars   poison.Digest
	until  time.Time
}

func (b *blamed) RecordBroken(_, _ string, m poison.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, m)
}

func (b *blamed) RecordCompleted(r *poison.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran = append(b.ran, r.Fingerprint())
}

func (b *blamed) Barred(r *poison.Request) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until, r.Fingerprint().Digest == b.bars
}

// bar bars a target from now on.
func (b *blamed) bar(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bars, b.until = marked(target).Digest, time.Now().Add(time.Minute)
}

// blaming is a gate before one upstream whose clock the test moves.
func blaming(t *testing.T, kind deploy.RequestKind, ahead *atomic.Int64, up http.HandlerFunc) (*Gate, *blamed) {
	upstream := httptest.NewServer(up)
	t.Cleanup(func() { upstream.CloseClientConnections(); upstream.Close() })
	g, _ := before(deploy.Upstream{Address: upstream.Listener.Addr().String(), Slots: 4}, &modelless{}, deploy.Route{Kind: kind, Objective: 3 * time.Second})
	b := &blamed{}
	g.deps.CrashRecorder, g.deps.PoisonGuard = b, b
	g.deps.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	return g, b
}

func serve(g *Gate, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // an answer that breaks off ends its handler so
		g.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://example.com"+target, nil))
	}()
	return w
}

func marked(target string) poison.Fingerprint {
	return (&poison.Content{Method: http.MethodPost, Host: "example.com", Target: "http://example.com" + target}).Fingerprint()
}

func TestWhatWasUnderWayWhenItsExchangeBrokeIsTold(t *testing.T) {
	g, b := blaming(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	assert.Equal(t, serve(g, "/a?b=c").Code, http.StatusBadGateway)
	assert.DeepEqual(t, b.broken, []poison.Fingerprint{marked("/a?b=c")})
	assert.Equal(t, len(b.ran), 0)
}

func TestWhatRanToItsEndIsTold(t *testing.T) {
	g, b := blaming(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "whole") })
	assert.Equal(t, serve(g, "/a").Code, http.StatusOK)
	assert.DeepEqual(t, b.ran, []poison.Fingerprint{marked("/a")})
	assert.Equal(t, len(b.broken), 0)
}

// Guards against blame for a stream that had run for long when its upstream ended.
func TestAStreamThatHasRunForLongIsNotBlamed(t *testing.T) {
	for _, c := range []struct {
		ran    time.Duration
		blamed int
	}{{longRun / 2, 1}, {2 * longRun, 0}} {
		ahead := new(atomic.Int64)
		g, b := blaming(t, deploy.Stream, ahead, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond) // the gate has read it
			ahead.Store(int64(c.ran))
			panic(http.ErrAbortHandler)
		})
		serve(g, "/a")
		assert.Equal(t, len(b.broken), c.blamed)
		assert.Equal(t, len(b.ran), 1-c.blamed)
	}
}

func TestWhatIsBarredIsRefusedAndReachesNobody(t *testing.T) {
	var reached atomic.Int32
	g, b := blaming(t, deploy.NonIdempotent, new(atomic.Int64), func(w http.ResponseWriter, _ *http.Request) { reached.Add(1); _, _ = fmt.Fprint(w, "whole") })
	b.bar("/a")
	w := serve(g, "/a")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	after := retryAfter(w.Result().Header)
	assert.Assert(t, after > 50*time.Second && after <= time.Minute+spreadMost, "%s", after)
	assert.Equal(t, reached.Load(), int32(0))
	assert.Equal(t, serve(g, "/b").Code, http.StatusOK)
}

// Guards against one more end of an upstream by a request that was found out while it waited, or between two of its sends.
func TestWhatIsBarredBetweenTwoSendsIsNotSentAgain(t *testing.T) {
	var reached atomic.Int32
	bar := make(chan func(string), 1)
	g, b := blaming(t, deploy.Idempotent, new(atomic.Int64), func(http.ResponseWriter, *http.Request) {
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
	g.deps.Fleet.Apply([]deploy.Upstream{{ID: "v", Service: "s", Address: one.Address(), Slots: 4}}, nil, 0)
	assert.Equal(t, serve(g, "/a").Code, http.StatusBadGateway, "nothing is promised of what may have run")
	assert.Equal(t, reached.Load(), int32(1))
}
