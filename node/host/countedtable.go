package host

import (
	"context"

	"peridotpier.example/node/metrics"
	"peridotpier.example/node/store"
)

// countedTable counts the calls to the platform's table, which are made for the lease
// and for barred requests.
type countedTable struct {
	store.Table
	set *metrics.Set
}

// Commit implements store.Table, as the methods below do.
func (t countedTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	t.count("write")
	return t.Table.Commit(ctx, txn)
}

func (t countedTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	t.count("read")
	return t.Table.Get(ctx, keys...)
}

func (t countedTable) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.count("read")
	return t.Table.List(ctx, prefix, after, limit)
}

func (t countedTable) count(how string) { t.set.CountKind(metrics.StoreCalls, "table_"+how, 1) }
