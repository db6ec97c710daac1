package store

import "context"

// ListAll reads all rows whose keys start with prefix, in pages of at most pageSize rows.
func ListAll(ctx context.Context, tb Table, prefix string, pageSize int) (all []Row, err error) {
	for after := ""; ; after = all[len(all)-1].Key {
		rows, err := tb.List(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageSize {
			return all, nil
		}
	}
}
