// Package poison finds requests that end the upstreams that run them (poison
// requests, queries of death). One crash blames all that ran there; what several
// crashes have in common is barred.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Content is what makes two arrivals the same request. Attempts' ids and times
// differ from one arrival to the next and are no part of it.
type Content struct {
	Team   string // whose request it is; "": nobody's
	Method string
	Host   string
	Target string // path and query as the caller sent them
	Body   []byte
}

// digestSize are enough that nobody finds a second content for a digest.
const digestSize = 16

// Digest identifies a Content without telling anything of it. The team is a part
// of it, so that no team can have another's requests barred.
type Digest [digestSize]byte

// ErrInvalidDigest says that bytes or text are no digest.
var ErrInvalidDigest = errors.New("no digest of a request")

// Digest works the digest out.
func (c *Content) Digest() Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Team), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part))) // else two parts could share their bytes otherwise
		h.Write(length[:])
		h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// String is the digest in hexadecimal digits, as logs and operators have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads what String wrote.
func ParseDigest(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, ErrInvalidDigest
	}
	return DigestFromBytes(data)
}

// DigestFromBytes takes a digest's bytes.
func DigestFromBytes(data []byte) (Digest, error) {
	var d Digest
	if len(data) != digestSize {
		return d, ErrInvalidDigest
	}
	copy(d[:], data)
	return d, nil
}

// Shape is a cheap hash of what a Content is beside its body, and of its body's
// length. Contents of other shapes are other requests, so that a digest is worked
// out only of those that have the shape of one that is known.
type Shape uint64

// Shape works the shape out.
func (c *Content) Shape() Shape {
	h := xxhash.New()
	for _, part := range []string{c.Team, c.Method, c.Host, c.Target} {
		_, _ = h.WriteString(part) // it never fails
		_, _ = h.Write(partEnd)
	}
	return Shape(h.Sum64() ^ uint64(len(c.Body)))
}

var partEnd = []byte{0}

// Fingerprint is how a request is known to other hosts.
type Fingerprint struct {
	Digest Digest
	Shape  Shape
}

// Fingerprint works both out.
func (c *Content) Fingerprint() Fingerprint { return Fingerprint{Digest: c.Digest(), Shape: c.Shape()} }

// Request is a Content whose digest is worked out at most once. It belongs to one
// goroutine.
type Request struct {
	content     Content
	fingerprint Fingerprint
	computed    bool
}

// NewRequest makes one of a content that does not change any more.
func NewRequest(c Content) *Request { return &Request{content: c} }

// Shape is that of the content.
func (r *Request) Shape() Shape {
	if r.computed {
		return r.fingerprint.Shape
	}
	return r.content.Shape()
}

// Fingerprint is that of the content.
func (r *Request) Fingerprint() Fingerprint {
	if !r.computed {
		r.fingerprint, r.computed = r.content.Fingerprint(), true
	}
	return r.fingerprint
}
