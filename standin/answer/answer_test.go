package answer_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/standin/answer"
)

// All figures on complete answers depend on this check: a truncated answer must
// never pass as complete, nor an answer to another prompt.
func TestVerifyDistinguishesCompleteTruncatedAndMismatched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`[a-z0-9-]{1,12}`)
		prompt := answer.Mark(id.Draw(t, "team"), id.Draw(t, "invocation")) + rapid.String().Draw(t, "filling")
		other := answer.Mark(id.Draw(t, "team"), id.Draw(t, "invocation")) + rapid.String().Draw(t, "filling")
		tokens := rapid.IntRange(1, 60).Draw(t, "tokens")
		text := answer.For(prompt, tokens).Text()
		assert.NilError(t, answer.Verify(prompt, tokens, text))
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		assert.ErrorIs(t, answer.Verify(prompt, tokens, text[:cut]), answer.ErrTruncated)
		if prompt != other {
			assert.ErrorIs(t, answer.Verify(other, tokens, text), answer.ErrMismatched)
		}
	})
}
