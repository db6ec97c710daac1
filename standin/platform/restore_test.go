package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/store"
	"peridotpier.example/node/store/rest"
	"peridotpier.example/standin/platform"
)

// Guards against a condition that holds for another row's version after the table was
// restored from a copy, and has given the number out again.
func TestARestoredTableKeepsNoVersion(t *testing.T) {
	ctx := context.Background()
	tb := platform.NewTable()
	srv := httptest.NewServer(platform.Handler(platform.Services{Table: tb}))
	defer srv.Close()
	client := rest.New(rest.Config{BaseURL: srv.URL})
	defer client.Close()
	write := func(conds ...store.Cond) (uint64, error) {
		return client.Commit(ctx, store.Txn{Conds: conds, Writes: []store.Write{{Key: "a", Value: []byte("x")}}})
	}
	empty := tb.Copy()
	before, err := write()
	assert.NilError(t, err)
	tb.Restore(empty)
	rows, err := client.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0, "it is gone")
	assert.Equal(t, client.Eras.Newest(), uint64(1))
	after, err := write()
	assert.NilError(t, err)
	assert.Equal(t, store.NumberOf(after), store.NumberOf(before))
	assert.Assert(t, after > before)
	_, err = write(store.Cond{Key: "a", Version: before})
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = write(store.Cond{Key: "a", Version: after})
	assert.NilError(t, err)
}
