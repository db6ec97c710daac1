package platform_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/platform"
)

// BenchmarkCommit is the cost of one conditional write, in memory and over
// HTTP on loopback.
func BenchmarkCommit(b *testing.B) {
	for _, c := range []struct {
		name  string
		table func() platform.Table
	}{{"memory", func() platform.Table { return memory(nil).Table }}, {"http", func() platform.Table { return overHTTP(b).Table }}} {
		b.Run(c.name, func(b *testing.B) {
			tb, last := c.table(), platform.Absent
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v, err := tb.Commit(b.Context(), platform.Txn{Op: fmt.Sprint(i),
					Conds:  []platform.Cond{{Key: "k", Version: last}},
					Writes: []platform.Write{{Key: "k", Value: []byte("value")}}})
				assert.NilError(b, err)
				last = v
			}
		})
	}
}
