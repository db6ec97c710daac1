package poison

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestADigestDependsOnTheContentAlone(t *testing.T) {
	a := Content{Team: "red", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")}
	same := a
	same.Body = []byte("body")
	assert.Equal(t, a.Digest(), same.Digest())
	for name, change := range map[string]func(*Content){
		"team": func(c *Content) { c.Team = "blue" }, "method": func(c *Content) { c.Method = "PUT" }, "host": func(c *Content) { c.Host = "g" },
		"target": func(c *Content) { c.Target = "/a?c" }, "body": func(c *Content) { c.Body = []byte("bodY") },
	} {
		other := a
		change(&other)
		assert.Assert(t, other.Digest() != a.Digest(), name)
	}
}

// Guards against a team that bars another team's request by moving bytes from one part to the next.
func TestPartsOfADigestAreSeparated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(2, 20, -1).Draw(t, "text")
		runes := []rune(text)
		i := rapid.IntRange(0, len(runes)).Draw(t, "i")
		j := rapid.IntRange(0, len(runes)).Draw(t, "j")
		a := Content{Team: string(runes[:i]), Method: string(runes[i:])}
		b := Content{Team: string(runes[:j]), Method: string(runes[j:])}
		assert.Equal(t, a.Digest() == b.Digest(), i == j)
	})
}

func TestADigestIsParsedAsWritten(t *testing.T) {
	d := (&Content{Target: "/"}).Digest()
	back, err := ParseDigest(d.String())
	assert.NilError(t, err)
	assert.Equal(t, back, d)
	for _, bad := range []string{"", "zz", d.String()[2:], d.String() + "00"} {
		_, err := ParseDigest(bad)
		assert.ErrorIs(t, err, ErrInvalidDigest)
	}
}
