package callerapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"peridotpier.example/node/event"
)

// panickingAdmission is an Admission that panics with value.
type panickingAdmission struct{ value any }

func (f panickingAdmission) Admit(context.Context, AdmitRequest) (func(), error) { panic(f.value) }

// Guards against a panic logged with a stack but without the request's id: only
// the HTTP server logs it, which does not know request ids.
func TestAPanicIsLoggedWithItsRequest(t *testing.T) {
	api, _, _ := newEmptyHost(t)
	core, lines := observer.New(zap.DebugLevel)
	api.deps.Log = event.NewLog(zap.New(core))
	call := func(value any) (panicked any, id string) {
		api.deps.Admission = panickingAdmission{value}
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"m"}`))
		r.Header.Set("Authorization", "Bearer "+fuzzKey)
		w := httptest.NewRecorder()
		defer func() { panicked, id = recover(), w.Header().Get(HeaderRequestID) }()
		api.ServeHTTP(w, r)
		return nil, ""
	}
	ended, _ := call(http.ErrAbortHandler)
	assert.Equal(t, ended, http.ErrAbortHandler)
	assert.Equal(t, lines.Len(), 0)
	ended, id := call("a fault")
	assert.Equal(t, ended, http.ErrAbortHandler, "the connection is aborted")
	found := lines.FilterMessage(event.HandlerPanicked.Name).All()
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].ContextMap()["request"], id)
	assert.Assert(t, id != "")
}
