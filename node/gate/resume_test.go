package gate

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/balance"
)

// failingCoordinator is a coordinator that fails to load any adapter.
type failingCoordinator struct{ noModelCoordinator }

func (*failingCoordinator) LoadAdapter(context.Context, string, string, string) error {
	return errors.New("no free adapter slot")
}

// Guards against cutting off a started stream because its adapter is not resident at the moment.
func TestABegunAnswerIsNotCutForWantOfAnAdapter(t *testing.T) {
	for _, started := range []bool{true, false} {
		g, f := newGate(&failingCoordinator{}, "127.0.0.1:1")
		home, _ := f.Entry("u")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		w := httptest.NewRecorder()
		q := &request{g: g, w: w, r: httptest.NewRequest(http.MethodPost, "/x", nil), ctx: ctx, started: started, tried: map[string]bool{"u": true}}
		p := selection{Decision: balance.Decision{Index: -1, Reason: balance.NoAdapter}, adapterUpstream: home}
		for range maxAdapterRequests + 2 {
			continues := q.loadAdapter(p)
			assert.Equal(t, continues, started)
			if !started {
				break
			}
			assert.Equal(t, len(q.tried), 0, "any upstream may be tried again")
		}
		assert.Equal(t, w.Code == http.StatusServiceUnavailable, !started)
	}
}
