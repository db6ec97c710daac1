package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// BenchmarkWays measures a small request on warm connections: to an upstream, to one beside a
// watch for cuts that never comes, and through another host.
func BenchmarkWays(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	defer up.Close()
	address := up.Listener.Addr().String()
	helper := httptest.NewServer(http.HandlerFunc(newHopGate(address, deploy.NonIdempotent, 1).ServeForwarded))
	defer helper.Close()
	plain := func() *Gate { return newHopGate(address, deploy.NonIdempotent, 1) }
	for name, g := range map[string]*Gate{
		"direct":  plain(),
		"watched": withDetour(plain(), stubDetour{needed: func() bool { return false }}),
		"hop":     withDetour(plain(), stubDetour{needed: always, hosts: []string{helper.Listener.Addr().String()}}),
	} {
		b.Run(name, func(b *testing.B) {
			host := httptest.NewServer(g)
			defer host.Close()
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequest(http.MethodPost, host.URL+"/x", strings.NewReader("b"))
				assert.NilError(b, err)
				r.Host = "example.com"
				resp, err := host.Client().Do(r)
				assert.NilError(b, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(b, err)
				assert.Equal(b, string(body), "answer")
				_ = resp.Body.Close()
			}
		})
	}
}
