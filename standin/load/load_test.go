package load_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/class"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/load"
	"peridotpier.example/standin/service"
)

// site is one engine and one service behind an entry host that only translates the
// callers' interface into theirs.
type site struct {
	e     *engine.Engine
	s     *service.Service
	entry *httptest.Server
	// onService, when set, replaces the forwarding of a service call.
	onService func(w http.ResponseWriter, r *http.Request, pass http.Handler)
}

func newSite(t testing.TB) *site {
	t.Helper()
	e, err := engine.New(engine.Config{Name: "e1", TokenTime: 100 * time.Microsecond})
	assert.NilError(t, err)
	e.Preload("m", "", "v1", 1)
	s, err := service.New(service.Config{Name: "s1"})
	assert.NilError(t, err)
	st := &site{e: e, s: s}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Test-Attempt")
		if id == "" {
			id = "a" + time.Now().Format("150405.000000000")
		}
		r.Header.Set(engineapi.HeaderAttempt, id)
		w.Header().Set("Peridot-Resume", id)
		e.Handler().ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /v1/requests/{token}/stream", func(w http.ResponseWriter, r *http.Request) {
		_, after, _ := cutLast(r.Header.Get("Last-Event-ID"), ".")
		r.URL.Path = "/engine/v1/attempts/" + r.PathValue("token") + "/stream"
		r.URL.RawQuery = "after=" + after
		e.Handler().ServeHTTP(w, r)
	})
	mux.HandleFunc("/v1/services/", func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = "/service/" + strings.TrimPrefix(r.URL.Path, "/v1/services/")
		if st.onService != nil {
			st.onService(w, r, s.Handler())
			return
		}
		s.Handler().ServeHTTP(w, r)
	})
	st.entry = httptest.NewServer(mux)
	t.Cleanup(func() { st.entry.Close(); e.Close(); s.Close() })
	return st
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

func source(kind load.Kind) load.Source {
	return load.Source{Team: "crew", APIKey: "key", Kind: kind, Class: class.Standard, Deadline: 20 * time.Second, Model: "m",
		Tokens: load.Range{Min: 20, Max: 40}, PromptBytes: load.Range{Min: 50, Max: 400},
		Service: "ledger", Method: "POST", Path: "/records",
		Curve: load.Curve{Points: []load.Point{{AtSeconds: 0, PerSecond: 200}}}}
}

func (st *site) run(t *testing.T, sources ...load.Source) load.Counts {
	t.Helper()
	plan := load.Plan(7, 200*time.Millisecond, sources)
	res := load.Run(t.Context(), load.Config{Plan: plan, Entries: load.NewBalancer(st.entry.Listener.Addr().String())})
	c := res.Count(append(load.EngineEffects("e1", st.e.Records()), load.ServiceEffects("s1", st.s.Executions())...))
	assert.Equal(t, c.Requests, len(plan))
	return c
}

func TestHealthyRunCompletesAllRequests(t *testing.T) {
	c := newSite(t).run(t, source(load.KindStream), source(load.KindNonStreaming), source(load.KindService), source(load.KindOnce))
	assert.Equal(t, c.Completed, c.Requests)
	assert.Equal(t, c.Attainment, 1.0)
}

// hostSequence returns its hosts one after the other, and the last one from then on.
type hostSequence struct {
	hosts []string
	n     int
}

// Next implements load.EntryBalancer.
func (e *hostSequence) Next(string) (string, error) {
	h := e.hosts[min(e.n, len(e.hosts)-1)]
	e.n++
	return h, nil
}

// Symptom: a call counts as lost although its caller could still have asked for
// the outcome.
// Sequence: hosts terminate; the balancer returns them for some time; all tries of
// the caller fail there, including the last one.
// Cause: the caller gives up after a number of tries although it has no outcome.
func TestCallerRetriesUntilTheOutcomeIsKnown(t *testing.T) {
	st := newSite(t)
	dead := httptest.NewServer(http.NotFoundHandler())
	address := dead.Listener.Addr().String()
	dead.Close()
	entries := &hostSequence{}
	for range 8 {
		entries.hosts = append(entries.hosts, address)
	}
	entries.hosts = append(entries.hosts, st.entry.Listener.Addr().String())
	src := source(load.KindOnce)
	plan := load.Plan(7, 200*time.Millisecond, []load.Source{src})[:1]
	c := load.Run(t.Context(), load.Config{Plan: plan, Entries: entries}).Count(nil)
	assert.Equal(t, c.Lost, 0)
	assert.Equal(t, c.Completed, 1)
}

// The connection of every stream breaks after ten events. The callers resume each
// stream as often as necessary, and the answers are complete. A caller that runs
// out of tries has a truncated answer, which must not count as completed.
func TestBrokenStreamsAreResumedOrCountedAsTruncated(t *testing.T) {
	st := newSite(t)
	st.e.CutStreamsAfter(10)
	short := source(load.KindStream)
	c := st.run(t, short)
	assert.Equal(t, c.Completed, c.Requests)
	assert.Assert(t, c.Retries >= c.Requests)
	st.e.CutStreamsAfter(1)
	c = st.run(t, short)
	assert.Equal(t, c.Truncated, c.Requests)
}

// An engine swaps answers: a caller gets text that belongs to another one.
func TestMismatchedAnswersAreDetected(t *testing.T) {
	st := newSite(t)
	st.e.MismatchAnswers(0.5)
	c := st.run(t, source(load.KindStream), source(load.KindNonStreaming))
	assert.Assert(t, c.Mismatched > 0)
	assert.Equal(t, c.Mismatched+c.Completed, c.Requests)
}

// An entry host loses the answer to a call that may not be repeated and runs it
// again under a new attempt. The caller sees one correct answer; only the records
// of the service show that the call ran twice.
func TestDuplicatedCallIsDetected(t *testing.T) {
	st := newSite(t)
	st.onService = func(w http.ResponseWriter, r *http.Request, pass http.Handler) {
		body, _ := io.ReadAll(r.Body)
		for _, out := range []http.ResponseWriter{httptest.NewRecorder(), w} {
			again := r.Clone(r.Context())
			again.Body = io.NopCloser(strings.NewReader(string(body)))
			pass.ServeHTTP(out, again)
		}
	}
	c := st.run(t, source(load.KindOnce))
	assert.Equal(t, c.Completed, c.Requests)
	assert.Equal(t, c.Duplicated, c.Requests)
}

// An entry host answers "not run" although the call ran.
func TestFalseNotRunIsDetected(t *testing.T) {
	st := newSite(t)
	st.onService = func(w http.ResponseWriter, r *http.Request, pass http.Handler) {
		pass.ServeHTTP(httptest.NewRecorder(), r)
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":{"message":"no","code":"bad_request","outcome":"not_run"}}`)
	}
	c := st.run(t, source(load.KindOnce))
	assert.Equal(t, c.NotRun, c.Requests)
	assert.Equal(t, c.FalseNotRun, c.Requests)
}

func TestPlanFollowsSeedAndCurve(t *testing.T) {
	s := source(load.KindNonStreaming)
	s.Curve = load.Curve{Points: []load.Point{{AtSeconds: 0, PerSecond: 10}, {AtSeconds: 100, PerSecond: 100}},
		Bursts: []load.Burst{{AtSeconds: 50, ForSeconds: 2, Factor: 10}}}
	plan := load.Plan(1, 100*time.Second, []load.Source{s})
	assert.Assert(t, reflect.DeepEqual(plan, load.Plan(1, 100*time.Second, []load.Source{s})))
	assert.Assert(t, !reflect.DeepEqual(plan, load.Plan(2, 100*time.Second, []load.Source{s})))
	burst := 0
	for i, a := range plan {
		assert.Assert(t, i == 0 || plan[i-1].Offset <= a.Offset)
		if a.Offset >= 50*time.Second && a.Offset < 52*time.Second {
			burst++
		}
	}
	assert.Assert(t, len(plan) > 6000 && len(plan) < 7000, "%d", len(plan)) // 5500 from the slope and 1000 from the burst
	assert.Assert(t, burst > 950 && burst < 1300, "%d", burst)
}
