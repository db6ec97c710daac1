package readall

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Property: whatever comes in whatever pieces is read as it is, and no further than a block
// beyond the limit.
func TestABodyIsReadAsItComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 100_000).Draw(t, "tens"))
		length := rapid.SampledFrom([]int64{-1, 0, int64(len(body)), 1 << 40}).Draw(t, "length")
		limit := rapid.Int64Range(0, 2_000_000).Draw(t, "limit")
		var r io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		got, err := Read(r, length, limit)
		assert.NilError(t, err)
		if int64(len(body)) <= limit {
			assert.Assert(t, bytes.Equal(got, body))
			return
		}
		assert.Assert(t, int64(len(got)) > limit && int64(len(got)) <= limit+maxBlock, "%d", len(got))
		assert.Assert(t, bytes.HasPrefix(body, got))
	})
}

// Guards against a broken body that passes as whole.
func TestABrokenBodyIsAnError(t *testing.T) {
	_, err := Read(io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF)), 200, 1000)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// BenchmarkRead measures a usual body.
func BenchmarkRead(b *testing.B) {
	body := make([]byte, 4700)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Read(bytes.NewReader(body), int64(len(body)), 1<<20)
	}
}

// BenchmarkReadAll measures the same with the standard library.
func BenchmarkReadAll(b *testing.B) {
	body := make([]byte, 4700)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.ReadAll(io.LimitReader(bytes.NewReader(body), 1<<20))
	}
}
