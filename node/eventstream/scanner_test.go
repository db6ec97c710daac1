package eventstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a truncated event that passes as whole, and a whole one that passes as truncated.
func TestTheScannerKnowsWhereEventsEnd(t *testing.T) {
	for _, c := range []struct {
		stream  string
		outside int
	}{
		{"", 0},
		{"id: 1\ndata: a\n\n", 15},
		{"id: 1\r\ndata: a\r\n\r\n", 18},
		{"id: 1\r\ndata: a\r\n\r", 0},
		{"id: 1\rdata: a\r\r", 15},
		{"data: a\n\ndata: b\n", 9},
		{"data: a\r\n\r\nid: 2\r\n", 11},
		{"data: a\n\nid", 9},
		{"data: a\n\n: comment\n", 19},
		{"data: a\n\n: comm", 9},
		{"data: a\n: comment\n", 0},
		{"\n\n", 2},
		{"\xef\xbb\xbf", 3},
		{"\xef\xbb\xbfdata: a\n\n", 12},
		{"\xef\xbb\xbf: comment\n", 13},
		{"data\n\n", 6},
	} {
		var s Scanner
		assert.Equal(t, s.Scan([]byte(c.stream)), c.outside, "%q", c.stream)
		assert.Equal(t, s.InsideEvent(), c.outside < len(c.stream), "%q", c.stream)
	}
}

// Guards against taking comments, or the fields that precede an answer, for its beginning.
func TestTheScannerKnowsWhenDataBegins(t *testing.T) {
	for stream, has := range map[string]bool{"": false, ": data: a\n\n": false, "retry: 9\n\n": false, "id: 1\nevent: data\n": false, "dat": false, "data": false,
		"database: a\n\n": false, " data: a\n\n": false, "data:": true, "data\n": true, ": c\n\nid: 1\ndata: a": true, "\xef\xbb\xbfdata: a": true, "id: 1\rdata: a\r": true} {
		var s Scanner
		s.Scan([]byte(stream))
		assert.Equal(t, s.HasData(), has, "%q", stream)
	}
}

// Guards against an end of an event that is missed because the bytes arrive in pieces.
func TestTheScannerDoesNotDependOnThePiecesThatArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := []byte(strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"a", "d", ":", "\r", "\n", " ", "\ufeff", "data", "data:"})).Draw(t, "stream"), ""))
		var whole, pieces Scanner
		want, got := whole.Scan(stream), 0
		for at := 0; at < len(stream); {
			n := rapid.IntRange(1, len(stream)-at).Draw(t, "piece")
			if outside := pieces.Scan(stream[at : at+n]); outside > 0 {
				got = at + outside
			}
			at += n
		}
		assert.Equal(t, got, want, "%q", stream)
		assert.Equal(t, pieces.InsideEvent(), whole.InsideEvent(), "%q", stream)
		assert.Equal(t, pieces.HasData(), whole.HasData(), "%q", stream)
	})
}
