package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// Symptom: a caller's connection ends with neither an answer nor a refusal.
// Sequence: a caller names a model in a request on a route whose service runs
// none; a configuration may just have moved the route there.
// Cause: the handler takes the service for one with engines, and panics.
func TestARequestForAModelAtAPlainServiceIsAnswered(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }))
	defer up.Close()
	g, _ := waiting(&modelless{}, up.Listener.Addr().String())
	table := *g.deps.Config.Current().Config
	table.Version++
	table.Services = []deploy.Service{{Name: "s"}}
	g.deps.Config.Offer(&table, "test")
	host := httptest.NewServer(g)
	defer host.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.URL+"/x", nil)
	assert.NilError(t, err)
	r.Host = "example.com"
	r.Header.Set("Model", "new") // held nowhere
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
