package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/store"
	"peridotpier.example/node/store/rest"
	"peridotpier.example/node/store/storetest"
	standin "peridotpier.example/standin/platform"
)

var listed = []store.Host{{Name: "h1", Address: "127.0.0.1:1", DataCentre: "balaju", Role: "entry", State: store.HostLive}}

func memory(testing.TB) storetest.Fixture {
	f := standin.NewFaults(1, nil)
	set := func(change func(*standin.Settings, float64)) func(bool) {
		return func(on bool) {
			f.Update(func(s *standin.Settings) {
				share := 0.0
				if on {
					share = 1
				}
				change(s, share)
			})
		}
	}
	const noneLeft = 1e-9 // writes per second, after the write that the burst allows
	b := storetest.Fixture{
		Table: standin.NewTableWith(f), Objects: standin.NewObjects(f),
		Hosts: standin.NewHosts(f, listed...), Weights: standin.NewWeights(f, 1e9, 2), WantHosts: listed,
		SetOutage:    func(on bool) { f.Update(func(s *standin.Settings) { s.Outage = on }) },
		LoseAnswers:  set(func(s *standin.Settings, x float64) { s.LostAnswers = x }),
		LoseRequests: set(func(s *standin.Settings, x float64) { s.LostRequests = x }),
	}
	b.SetLimited = func(on bool) {
		set(func(s *standin.Settings, x float64) { s.WritesPerSecond = x * noneLeft })(on)
		if on {
			_ = b.Objects.Put(context.Background(), "burst", nil)
		}
	}
	return b
}

func overHTTP(t testing.TB) storetest.Fixture {
	b := memory(t)
	srv := httptest.NewServer(standin.Handler(standin.Services{Table: b.Table, Objects: b.Objects, Hosts: b.Hosts, Weights: b.Weights}))
	t.Cleanup(srv.Close)
	c := rest.New(rest.Config{BaseURL: srv.URL})
	t.Cleanup(c.Close)
	b.Table, b.Objects, b.Hosts, b.Weights = c, c.Objects(), c, c
	return b
}

func TestConformance(t *testing.T) {
	t.Run("memory", func(t *testing.T) { storetest.Run(t, func(t *testing.T) storetest.Fixture { return memory(t) }) })
	t.Run("http", func(t *testing.T) { storetest.Run(t, func(t *testing.T) storetest.Fixture { return overHTTP(t) }) })
}

// Symptom: an action runs twice after a store failure.
// Sequence: the service is reached, then does not answer until the deadline of the
// client.
// Cause: the client treats a deadline as "nothing took effect".
func TestTimeoutAfterTheRequestIsUnconfirmed(t *testing.T) {
	f := standin.NewFaults(1, nil)
	f.Set(standin.Settings{Delay: time.Hour})
	srv := httptest.NewServer(standin.Handler(standin.Services{Table: standin.NewTableWith(f)}))
	c := rest.New(rest.Config{BaseURL: srv.URL, Timeout: 50 * time.Millisecond})
	_, err := c.Commit(t.Context(), store.Txn{Op: "a"})
	assert.ErrorIs(t, err, store.ErrUnconfirmed)
	_, err = c.Get(t.Context(), "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	srv.Close()
	_, err = c.Commit(t.Context(), store.Txn{Op: "a"})
	assert.ErrorIs(t, err, store.ErrUnavailable, "refused before anything was sent")
}

// Symptom: a write takes effect after its caller has continued with other work.
// Sequence: the answer is reported as lost and the write takes effect some time
// later, after a retry with the same operation id.
// Cause: the network delayed the request.
func TestLateEffectAfterRetryHasOneEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := standin.NewTable()
		tb.Faults.Set(standin.Settings{LateEffects: 1, LateEffectDelay: time.Minute})
		txn := store.Txn{Op: "a", Writes: []store.Write{{Key: "k", Value: []byte("1")}}}
		_, err := tb.Commit(t.Context(), txn)
		assert.ErrorIs(t, err, store.ErrUnconfirmed)
		rows, _ := tb.Get(t.Context(), "k")
		assert.Equal(t, len(rows), 0)
		tb.Faults.Set(standin.Settings{})
		v, err := tb.Commit(t.Context(), txn)
		assert.NilError(t, err)
		_, err = tb.Commit(t.Context(), store.Txn{Op: "b", Writes: []store.Write{{Key: "k", Value: []byte("2")}}})
		assert.NilError(t, err)
		tb.WaitLateEffects()
		rows, _ = tb.Get(t.Context(), "k")
		assert.Equal(t, string(rows[0].Value), "2")
		assert.Assert(t, rows[0].Version > v)
	})
}

func TestHostListLagsAndOutageEnds(t *testing.T) {
	now := time.Unix(0, 0)
	f := standin.NewFaults(1, func() time.Time { return now })
	h := standin.NewHosts(f, listed...)
	h.SetLag(30 * time.Second)
	h.SetState("h1", store.HostDraining)
	state := func() store.HostState {
		got, err := h.Hosts(t.Context())
		assert.NilError(t, err)
		return got[0].State
	}
	assert.Equal(t, state(), store.HostLive)
	now = now.Add(30 * time.Second)
	assert.Equal(t, state(), store.HostDraining)
	f.StartOutage(time.Minute)
	_, err := h.Hosts(t.Context())
	assert.ErrorIs(t, err, store.ErrUnavailable)
	now = now.Add(time.Minute)
	assert.Equal(t, state(), store.HostDraining)
	assert.Equal(t, f.Reads(), int64(4))
}
