package callerapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/core/place"
	"peridotpier.example/core/revision"
	"peridotpier.example/core/route"
	"peridotpier.example/core/token"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/query"
	"peridotpier.example/node/upstream/conn"
)

const fuzzKey = "key"

// emptyHost is a host without upstreams: each request that it admits is refused
// because there is no upstream. It counts the claims that were made.
type emptyHost struct {
	dispatch.View
	index  *config.Index
	claims int
}

func (a *emptyHost) Current() (*query.State, bool) { return &query.State{Index: a.index}, true }
func (*emptyHost) Freshness() revision.Freshness   { return revision.Confirmed }
func (*emptyHost) Admit(context.Context, AdmitRequest) (release func(), err error) {
	return func() {}, nil
}
func (*emptyHost) Begin(place.Key)           {}
func (*emptyHost) End(place.Key, bool)       {}
func (*emptyHost) Snapshot() *route.Snapshot { return &route.Snapshot{} }

type noGrant struct{ dispatch.Grant }

func (noGrant) Release(context.Context) error { return nil }

func (a *emptyHost) Claim(context.Context, nodeclaim.Request) (dispatch.Grant, *nodeclaim.Answer, error) {
	a.claims++
	return noGrant{}, nil, nil
}

func newEmptyHost(t testing.TB) (*API, *emptyHost, *token.Keys) {
	t.Helper()
	sum := sha256.Sum256([]byte(fuzzKey))
	a := &emptyHost{index: config.NewIndex(&config.Config{
		Teams:    []config.Team{{Name: "a", KeyHashes: []string{hex.EncodeToString(sum[:])}, Models: []string{"m"}, Services: []string{"s"}}},
		Pools:    []config.Pool{{Name: "lm", Kind: config.KindEngine}, {Name: "svc", Kind: config.KindService}},
		Models:   []config.Model{{Name: "m", Pool: "lm"}},
		Services: []config.Service{{Name: "s", Pool: "svc", Routes: []config.ServiceRoute{{Method: "GET", Prefix: "/notes"}, {Method: "POST", Prefix: "/free", Repeatable: true}}}},
		Classes:  []config.ClassRule{{Class: class.Urgent, DeadlineMs: 10}, {Class: class.Standard, DeadlineMs: 10}, {Class: class.Bulk, DeadlineMs: 10}},
		Limits:   config.Limits{BodyBytes: 1 << 16, AnswerBytes: 1 << 16}})}
	keys, err := token.NewKeys(token.Key{ID: "k1", Secret: []byte(strings.Repeat("s", 32))})
	assert.NilError(t, err)
	d := dispatch.New(dispatch.Config{}, dispatch.Deps{View: a, Picker: route.New(route.Config{}), Client: conn.New(conn.Config{}),
		Log: event.NewLog(nil), Metrics: metrics.New()})
	return New(Config{Host: "h"}, Deps{Config: a, Admission: a, Claims: a, Dispatcher: d, Demand: a, Tokens: keys,
		Requests: inflight.New(), Metrics: metrics.New(), Log: event.NewLog(nil), Now: time.Now}), a, keys
}

// FuzzCaller sends a host arbitrary paths, headers and bodies. Every error must be
// a typed one whose outcome says that nothing ran, and no path may bypass the rule
// for requests that may not be repeated.
func FuzzCaller(f *testing.F) {
	api, host, keys := newEmptyHost(f)
	resume, err := keys.Encode(token.Token{Team: "a", Request: "r", Attempt: "a", Upstream: "gone", Expires: time.Now().Add(time.Hour).Unix()})
	assert.NilError(f, err)
	f.Add("POST", "/v1/chat/completions", []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`), "urgent", "1000", "k", "")
	f.Add("POST", "/v1/completions", []byte(`{"model":"m","prompt":["a","b"]}`), "", "", "", "")
	f.Add("POST", "/v1/chat/completions", []byte(`{"model":1}`), "bulk", "-1", strings.Repeat("k", 300), "")
	f.Add("POST", "/v1/services/s/notes", []byte("note"), "standard", "600001", "k", "")
	f.Add("GET", "/v1/services/s/x/../notes", []byte(nil), "", "1", "", "")
	f.Add("GET", "/v1/services/s//notes/", []byte(nil), "", "", "", "")
	f.Add("GET", "/v1/requests/TOKEN/stream", []byte(nil), "", "", "", "7")
	f.Add("GET", "/v1/requests/TOKEN/stream", []byte(nil), "", "", "", "-7")
	f.Fuzz(func(t *testing.T, method, target string, body []byte, class, deadline, key, lastEventID string) {
		target = strings.Replace(target, "TOKEN", resume, 1)
		r := httptest.NewRequest("POST", "/", bytes.NewReader(body)).WithContext(t.Context())
		r.Method, r.URL = method, &url.URL{Path: target}
		for name, v := range map[string]string{"Authorization": "Bearer " + fuzzKey, HeaderClass: class, HeaderDeadline: deadline,
			HeaderIdempotencyKey: key, headerLastEvent: lastEventID} {
			if v != "" {
				r.Header.Set(name, v)
			}
		}
		host.claims = 0
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		checkAnswer(t, w, method, target)
		rest, service := strings.CutPrefix(target, "/v1/services/s/")
		if service && method == "GET" && strings.HasPrefix(path.Clean("/"+rest), "/notes") && w.Code == http.StatusServiceUnavailable {
			assert.Assert(t, host.claims > 0, "GET %q was treated as repeatable", target)
		}
	})
}

// checkAnswer checks the form of an answer.
func checkAnswer(t *testing.T, w *httptest.ResponseRecorder, method, target string) {
	t.Helper()
	if w.Code < http.StatusBadRequest || method == http.MethodHead {
		assert.Assert(t, w.Code == http.StatusOK || w.Code == http.StatusNoContent || method == http.MethodHead || method == http.MethodOptions, "%s %q: %d", method, target, w.Code)
		return
	}
	var p Problem
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p), "%s %q: %d %s", method, target, w.Code, w.Body)
	resumed := strings.HasSuffix(target, "/stream")
	assert.Assert(t, p.Error.Outcome == "not_run" || resumed && p.Error.Outcome == "unknown", "%s", w.Body)
	assert.Assert(t, p.Error.Code != "internal" && p.Error.Message != "", "%s", w.Body)
	assert.Assert(t, w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "", "%s", w.Body)
}
