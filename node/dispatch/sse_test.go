package dispatch

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func upstreamEvent(attempt string, position int, data string) string {
	return fmt.Sprintf("id: %s.%d\ndata: %s\n\n", attempt, position, data)
}

// Symptom: a caller gets a token twice, misses one, or gets another caller's.
// Sequence: a stream broke off and was resumed, or an answer was mismatched.
// Cause: events are forwarded without a check of their attempt and position.
func TestSplitterPassesOwnEventsOnce(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		err           error
	}{
		{"in order", upstreamEvent("a", 1, "x") + upstreamEvent("a", 2, "y"), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", nil},
		{"again after a resumption", upstreamEvent("a", 1, "x") + upstreamEvent("a", 1, "x") + upstreamEvent("a", 2, "y"), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", nil},
		{"another attempt's, at the right position", upstreamEvent("a", 1, "x") + upstreamEvent("b", 2, "theirs"), "id: 1\ndata: x\n\n", errMismatched},
		{"a gap", upstreamEvent("a", 1, "x") + upstreamEvent("a", 3, "z"), "id: 1\ndata: x\n\n", errGap},
		{"nothing after the end", upstreamEvent("a", 1, "[DONE]") + upstreamEvent("a", 2, "y"), "id: 1\ndata: [DONE]\n\n", nil},
		{"keep-alive", ": still here\n\n" + upstreamEvent("a", 1, "x"), "id: 1\ndata: x\n\n", nil},
		{"no id", "data: x\n\n", "", errMalformed},
		{"two data lines", "id: a.1\ndata: x\nid: a.2\n\n", "", errMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := splitter{attempt: []byte("a")}
			out, _, err := s.rewrite(nil, []byte(c.in))
			assert.Equal(t, string(out), c.out)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// FuzzSplitter checks that the caller gets the same events, with positions 1, 2,
// 3, …, however a stream is cut into reads.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte(upstreamEvent("a", 1, "x")+upstreamEvent("a", 2, "[DONE]")), uint8(7))
	f.Add([]byte(upstreamEvent("a", 1, "x")+upstreamEvent("a", 1, "x")+": c\n\n"+upstreamEvent("a", 2, "y")), uint8(3))
	f.Add([]byte(upstreamEvent("a", 1, "x")+upstreamEvent("b", 2, "y")), uint8(1))
	f.Add([]byte(upstreamEvent("a", 1, "x")+upstreamEvent("a", 3, "y")+"\n\n\n"), uint8(40))
	f.Fuzz(func(t *testing.T, src []byte, step uint8) {
		uncut := splitter{attempt: []byte("a")}
		want, _, wantErr := uncut.rewrite(nil, src)
		cut := splitter{attempt: []byte("a")}
		var got, unread []byte
		var err error
		for at := 0; at < len(src) && err == nil && !cut.ended; at += int(step) + 1 {
			unread = append(unread, src[at:min(at+int(step)+1, len(src))]...)
			var used int
			got, used, err = cut.rewrite(got, unread)
			unread = unread[used:]
		}
		assert.Equal(t, string(got), string(want))
		assert.Equal(t, err, wantErr)
		assert.Equal(t, cut.ended, uncut.ended)
		checkPositions(t, want, uncut.position)
	})
}

// checkPositions checks that the positions in the caller's form go from 1 to last.
func checkPositions(t *testing.T, out []byte, last int) {
	t.Helper()
	n := 0
	for _, ev := range bytes.SplitAfter(out, eventEnd) {
		if len(ev) == 0 {
			continue
		}
		n++
		id, data, ok := bytes.Cut(ev, []byte{'\n'})
		assert.Assert(t, ok && string(id) == fmt.Sprintf("id: %d", n) && bytes.HasPrefix(data, dataField), "%q", ev)
	}
	assert.Equal(t, n, last)
}
