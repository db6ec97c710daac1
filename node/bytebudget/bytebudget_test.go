package bytebudget_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/node/bytebudget"
)

// Property: bodies read and released in any order never take more than the budget, lose no
// byte, and leave nothing reserved.
func TestBodiesNeverTakeMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 256 << 10
		budget := bytebudget.New(most)
		var held []*bytebudget.Body
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				first := held[0]
				held = held[1:]
				if rapid.Bool().Draw(t, "write") {
					want := first.Bytes()
					var got bytes.Buffer
					n, err := first.WriteTo(&got)
					assert.NilError(t, err)
					assert.Equal(t, n, int64(len(want)))
					assert.Assert(t, bytes.Equal(got.Bytes(), want))
				}
				first.Release()
				continue
			}
			sent := bytes.Repeat([]byte("x"), rapid.IntRange(0, 200<<10).Draw(t, "size"))
			max := rapid.IntRange(1, 128<<10).Draw(t, "max")
			r := io.Reader(bytes.NewReader(sent))
			fails := rapid.Bool().Draw(t, "fails")
			if fails {
				r = io.MultiReader(r, iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			body, err := budget.Read(iotest.HalfReader(r), rapid.SampledFrom([]int64{-1, int64(len(sent)), 10, 1 << 40}).Draw(t, "length"), max)
			assert.Assert(t, body.Len() <= max)
			assert.Assert(t, bytes.HasPrefix(sent, body.Bytes()))
			if body.Whole {
				assert.Assert(t, body.Len() == len(sent) && !fails)
			}
			assert.Assert(t, err == nil || fails)
			assert.Assert(t, budget.Used() <= most)
			held = append(held, body)
		}
		for i := range held {
			held[i].Release()
		}
		assert.Equal(t, budget.Used(), int64(0))
	})
}

// Guards against small bodies that are not held because large ones hold the budget.
func TestASmallBodyNeedsNoBudget(t *testing.T) {
	budget := bytebudget.New(1)
	body, err := budget.Read(bytes.NewReader(make([]byte, 10<<10)), 10<<10, 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, body.Whole)
	body, err = budget.Read(bytes.NewReader(make([]byte, 100<<10)), -1, 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, !body.Whole && body.Len() > 0)
}
