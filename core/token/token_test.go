package token

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	now  = time.Unix(1_000, 0)
	k1   = Key{ID: "k1", Secret: bytes.Repeat([]byte{1}, 32)}
	k2   = Key{ID: "k2", Secret: bytes.Repeat([]byte{2}, 32)}
	mine = Token{Team: "north", Request: "r", Attempt: "a", Upstream: "e1", Incarnation: "i", Model: "m", Expires: 1_060}
)

func keys(t testing.TB, ks ...Key) *Keys {
	k, err := NewKeys(ks...)
	assert.NilError(t, err)
	return k
}

func TestRotationOverlaps(t *testing.T) {
	old, both, next := keys(t, k1), keys(t, k2, k1), keys(t, k2)
	s, err := old.Encode(mine)
	assert.NilError(t, err)
	got, err := both.Decode(s, "north", now)
	assert.NilError(t, err)
	assert.Equal(t, got, mine)
	_, err = next.Decode(s, "north", now)
	assert.ErrorIs(t, err, ErrSignature)
}

func TestDecodeRefuses(t *testing.T) {
	k := keys(t, k1)
	s, err := k.Encode(mine)
	assert.NilError(t, err)
	forged, err := keys(t, Key{ID: "k1", Secret: k2.Secret}).Encode(mine)
	assert.NilError(t, err)
	for _, c := range []struct {
		name, token, team string
		at                time.Time
		want              error
	}{
		{"another team's", s, "south", now, ErrTeam},
		{"expired", s, "north", now.Add(time.Hour), ErrExpired},
		{"forged", forged, "north", now, ErrSignature},
		{"cut", s[:len(s)-3], "north", now, ErrSignature},
		{"empty", "", "north", now, ErrMalformed},
		{"huge", string(make([]byte, 1<<20)), "north", now, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := k.Decode(c.token, c.team, c.at)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

func TestNewKeysRefuses(t *testing.T) {
	for _, ks := range [][]Key{nil, {k1, k1}, {{ID: "a.b", Secret: k1.Secret}}, {{ID: "short", Secret: []byte("x")}}} {
		_, err := NewKeys(ks...)
		assert.Assert(t, err != nil)
	}
}

// FuzzDecode checks that nothing but the issued token decodes, and that nothing
// panics.
func FuzzDecode(f *testing.F) {
	k := keys(f, k1, k2)
	s, err := k.Encode(mine)
	assert.NilError(f, err)
	for _, seed := range []string{s, "", ".", "..", "k1..", "k1.e30.", s + ".", s[1:], "k2" + s[2:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		if _, err := k.Decode(in, "north", now); err == nil {
			assert.Equal(t, in, s)
		}
	})
}
