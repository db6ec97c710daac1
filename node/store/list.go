package store

import "context"

// EachRow calls f for all rows whose keys start with prefix, which it reads in pages of at
// most pageSize rows. It ends with the first error of f.
func EachRow(ctx context.Context, tb Table, prefix string, pageSize int, f func(Row) error) error {
	for after := ""; ; {
		rows, err := tb.List(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, r := range rows {
			if err := f(r); err != nil {
				return err
			}
			after = r.Key
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

// ListAll returns all rows whose keys start with prefix, read as by EachRow.
func ListAll(ctx context.Context, tb Table, prefix string, pageSize int) (all []Row, err error) {
	err = EachRow(ctx, tb, prefix, pageSize, func(r Row) error {
		all = append(all, r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return all, nil
}
