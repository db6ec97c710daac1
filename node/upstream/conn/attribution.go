package conn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Owner is whose answer an answer is, as far as its head tells.
type Owner uint8

// The owners.
const (
	OwnedByRequest Owner = iota // it names the request of the exchange
	OwnedByOther                // it names another request
	OwnerUnnamed                // it names none
)

// String returns the owner's name in metrics.
func (o Owner) String() string { return [...]string{"own", "other", "unnamed"}[o] }

// ForeignAnswer describes an answer that is not proven to be the one to the request of its
// exchange.
type ForeignAnswer struct {
	Status int
	Header http.Header
	Owner  Owner
	Use    ConnUse
}

// ErrForeignAnswer means that an answer that is not proven to be the request's own came on
// the connection, and that the own answer could not be read after it.
var ErrForeignAnswer = errors.New("the answer on the connection is not proven to be the request's")

// errSplicedHead means that the head of an answer was truncated and that of another one
// follows: what its lines say is of two requests.
var errSplicedHead = fmt.Errorf("%w: its head holds the beginning of another answer", ErrForeignAnswer)

const (
	// maxForeignAnswers is how many answers in a row are passed over: each request that the
	// connection carried can have one.
	maxForeignAnswers = 4
	// maxForeignBytes bounds the body of an answer that is passed over.
	maxForeignBytes = 64 << 10
	// foreignBodyTimeout bounds the time for such a body, which an upstream sends in one piece.
	foreignBodyTimeout = 250 * time.Millisecond
	// unnamedWait is how long the own answer may take to begin after one that names no request:
	// an upstream that names none would hold its requests to their deadlines.
	unnamedWait = time.Second
)

// readOwn reads heads until one is that of the answer to r, passing over answers to other
// requests.
func (l *persistConn) readOwn(r *Request, req *http.Request) (*http.Response, error) {
	for n := 0; ; n++ {
		resp, err := l.readHead(r, req)
		if err != nil && n > 0 {
			return nil, errors.Join(ErrForeignAnswer, err)
		}
		if err != nil {
			return nil, err
		}
		owner := r.ownerOf(resp)
		if l.isProven(owner) {
			if n > 0 {
				return resp, l.nc.SetReadDeadline(time.Time{})
			}
			return resp, nil
		}
		l.foreign = true
		r.reportForeign(ForeignAnswer{Status: resp.StatusCode, Header: resp.Header, Owner: owner, Use: l.use()})
		if n == maxForeignAnswers {
			return nil, ErrForeignAnswer
		}
		if err := l.passOver(resp, owner); err != nil {
			return nil, errors.Join(ErrForeignAnswer, err)
		}
	}
}

// isProven reports whether an answer with this owner is the request's. One that names no
// request is, if nothing else was ever sent or received on the connection.
func (l *persistConn) isProven(o Owner) bool {
	return o == OwnedByRequest || o == OwnerUnnamed && l.exchanges == 1 && !l.foreign
}

// ownerOf returns whose answer resp is; without Owner it is the request's.
func (r *Request) ownerOf(resp *http.Response) Owner {
	if r.Owner == nil {
		return OwnedByRequest
	}
	return r.Owner(resp.Header)
}

func (r *Request) reportForeign(a ForeignAnswer) {
	if r.OnForeign != nil {
		r.OnForeign(a)
	}
}

// errNoNextAnswer means that where an answer ends cannot be told, or that it ends its connection.
var errNoNextAnswer = errors.New("no other answer can follow")

// passOver reads the body of an answer to another request. It fails if what follows the
// answer could be a part of it.
func (l *persistConn) passOver(resp *http.Response, owner Owner) error {
	if resp.Close || l.sentHead || framingOf(resp) == ByConnection {
		return errNoNextAnswer
	}
	if err := l.nc.SetReadDeadline(time.Now().Add(foreignBodyTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes+1))
	if err != nil {
		return err
	}
	if n > maxForeignBytes {
		return ErrBodyTooLarge
	}
	next := time.Time{}
	if owner == OwnerUnnamed {
		next = time.Now().Add(unnamedWait)
	}
	return l.nc.SetReadDeadline(next)
}

// isSpliced reports whether a head holds the beginning of another answer. A status line that
// follows a truncated line is a part of the reason or of a header's value; anywhere else the
// head is malformed.
func isSpliced(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// hasStatusLine reports whether s holds the beginning of a status line, such as
// "HTTP/1.1 200".
func hasStatusLine(s string) bool {
	const version, rest = "HTTP/1.", len("1 200")
	for {
		_, after, found := strings.Cut(s, version)
		if !found {
			return false
		}
		if len(after) >= rest && isDigits(after[:1]) && after[1] == ' ' && isDigits(after[2:rest]) {
			return true
		}
		s = after
	}
}

func isDigits(s string) bool {
	return strings.Trim(s, "0123456789") == ""
}
