package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/cmd/internal/operator"
)

// Guards against a count of -1 hosts in what an operator is told when the node does not
// answer the question who has confirmed a version.
func TestAnUnknownNumberOfHostsIsNotShown(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer srv.Close()
	t.Setenv(operator.EnvKey, "key")
	c, err := (&operator.Flags{Node: srv.URL}).NewClient()
	assert.NilError(t, err)
	err = awaitEverywhere(t.Context(), c, 7, 50*time.Millisecond)
	assert.ErrorContains(t, err, "version 7 was accepted, but the node did not say")
	assert.Equal(t, unconfirmedBy(2), "2 hosts have not confirmed it")
}
