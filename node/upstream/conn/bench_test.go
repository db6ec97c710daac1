package conn_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

// BenchmarkExchange compares an exchange on a reused connection with one through
// net/http's Transport: the same request and server, one exchange at a time.
func BenchmarkExchange(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte(`{"stock":true}`))
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	body := []byte(`{"note":"one box"}`)
	b.Run("conn", func(b *testing.B) {
		c := conn.New(conn.Config{})
		defer c.Close()
		b.ReportAllocs()
		for b.Loop() {
			resp, err := c.Do(context.Background(), &conn.Request{Address: address, Method: "POST", Path: "/", Header: http.Header{}, Body: body})
			assert.NilError(b, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(b, err)
			resp.Finish()
		}
	})
	b.Run("transport", func(b *testing.B) {
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			req, err := http.NewRequest("POST", srv.URL, strings.NewReader(string(body)))
			assert.NilError(b, err)
			resp, err := tr.RoundTrip(req)
			assert.NilError(b, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(b, err)
			assert.NilError(b, resp.Body.Close())
		}
	})
}
