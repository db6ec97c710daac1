package dispatch

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func sent(attempt string, position int, data string) string {
	return fmt.Sprintf("id: %s.%d\ndata: %s\n\n", attempt, position, data)
}

// Symptom: a caller gets a token twice, lacks one, or sees another caller's.
// Sequence: a stream broke and was taken up again, or an answer was crossed.
// Cause: events are passed on as they come.
func TestSplitterPassesOwnEventsOnce(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		err           error
	}{
		{"in order", sent("a", 1, "x") + sent("a", 2, "y"), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", nil},
		{"again after a resumption", sent("a", 1, "x") + sent("a", 1, "x") + sent("a", 2, "y"), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", nil},
		{"another's, at the right position", sent("a", 1, "x") + sent("b", 2, "theirs"), "id: 1\ndata: x\n\n", errForeign},
		{"a gap", sent("a", 1, "x") + sent("a", 3, "z"), "id: 1\ndata: x\n\n", errGap},
		{"nothing after the end", sent("a", 1, "[DONE]") + sent("a", 2, "y"), "id: 1\ndata: [DONE]\n\n", nil},
		{"keep-alive", ": still here\n\n" + sent("a", 1, "x"), "id: 1\ndata: x\n\n", nil},
		{"no id", "data: x\n\n", "", errFormat},
		{"two data lines", "id: a.1\ndata: x\nid: a.2\n\n", "", errFormat},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := splitter{attempt: []byte("a")}
			out, _, err := s.pass(nil, []byte(c.in))
			assert.Equal(t, string(out), c.out)
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// FuzzSplitter: however a stream is cut into reads, the caller gets the same,
// event by event, with positions 1, 2, 3, …
func FuzzSplitter(f *testing.F) {
	f.Add([]byte(sent("a", 1, "x")+sent("a", 2, "[DONE]")), uint8(7))
	f.Add([]byte(sent("a", 1, "x")+sent("a", 1, "x")+": c\n\n"+sent("a", 2, "y")), uint8(3))
	f.Add([]byte(sent("a", 1, "x")+sent("b", 2, "y")), uint8(1))
	f.Add([]byte(sent("a", 1, "x")+sent("a", 3, "y")+"\n\n\n"), uint8(40))
	f.Fuzz(func(t *testing.T, src []byte, step uint8) {
		whole := splitter{attempt: []byte("a")}
		want, _, wantErr := whole.pass(nil, src)
		cut := splitter{attempt: []byte("a")}
		var got, held []byte
		var err error
		for at := 0; at < len(src) && err == nil && !cut.done; at += int(step) + 1 {
			held = append(held, src[at:min(at+int(step)+1, len(src))]...)
			var used int
			got, used, err = cut.pass(got, held)
			held = held[used:]
		}
		assert.Equal(t, string(got), string(want))
		assert.Equal(t, err, wantErr)
		assert.Equal(t, cut.done, whole.done)
		positions(t, want, whole.position)
	})
}

// positions checks that the caller's form counts from 1 to last.
func positions(t *testing.T, out []byte, last int) {
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
