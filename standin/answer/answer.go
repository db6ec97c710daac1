// Package answer determines what a stand-in engine answers to a prompt, so that a
// caller can check by itself whether an answer is complete and belongs to its
// prompt. A prompt or service body carries a mark, which names the team and the
// invocation that it came from; stand-ins keep the mark in their records.
package answer

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Errors of Verify.
var (
	// ErrTruncated reports that the text is a true beginning of the answer, but
	// not all of it.
	ErrTruncated = errors.New("answer is truncated")
	// ErrMismatched reports that the text is no part of the answer to this prompt.
	ErrMismatched = errors.New("answer belongs to another prompt")
)

// A mark uses only characters that JSON and URLs do not escape.
const (
	markOpen = "pm~"
	markSep  = "~"
)

// Mark returns the mark of an invocation of a team, to be placed in a prompt, body
// or query. Neither name may contain "~".
func Mark(team, invocation string) string {
	return markOpen + team + markSep + invocation + markSep
}

// FindMark returns the team and invocation of the first mark in text.
func FindMark(text []byte) (team, invocation string, ok bool) {
	_, rest, found := bytes.Cut(text, []byte(markOpen))
	if !found {
		return "", "", false
	}
	t, rest, found := bytes.Cut(rest, []byte(markSep))
	if !found {
		return "", "", false
	}
	i, _, found := bytes.Cut(rest, []byte(markSep))
	return string(t), string(i), found
}

// Answer is the answer to one prompt.
type Answer struct {
	Tokens int
	head   string
}

// For returns the answer of the given length, at least 1, to a prompt.
func For(prompt string, tokens int) Answer {
	tokens = max(tokens, 1)
	team, inv, _ := FindMark([]byte(prompt))
	head := team + "/" + inv + " " + strconv.FormatUint(xxhash.Sum64String(prompt), 16) + " " + strconv.Itoa(tokens)
	return Answer{Tokens: tokens, head: head}
}

// AppendToken appends the token at a position from 1 to Tokens.
func (a Answer) AppendToken(buf []byte, position int) []byte {
	if position == 1 {
		return append(buf, a.head...)
	}
	return strconv.AppendInt(append(buf, " w"...), int64(position), 10)
}

// Text returns the complete answer.
func (a Answer) Text() string {
	var buf []byte
	for i := 1; i <= a.Tokens; i++ {
		buf = a.AppendToken(buf, i)
	}
	return string(buf)
}

// Verify checks that text is the complete answer to prompt. It returns nil,
// ErrTruncated or ErrMismatched.
func Verify(prompt string, tokens int, text string) error {
	want := For(prompt, tokens).Text()
	switch {
	case text == want:
		return nil
	case strings.HasPrefix(want, text):
		return ErrTruncated
	default:
		return ErrMismatched
	}
}
