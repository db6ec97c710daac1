// Package poison detects poison requests (queries of death): requests that crash the
// upstreams that run them. Each crash makes all requests that ran on the upstream
// suspects. A request that several crashes have in common is barred: hosts refuse it
// for some time without sending it to an upstream.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Content is what identifies two arrivals as the same request. It excludes the ids and
// times of attempts, which differ from one arrival to the next.
type Content struct {
	Team   string // the team whose request it is; "" if there is none
	Method string
	Host   string
	Target string // path and query as sent by the caller
	Body   []byte
}

// digestSize is long enough that nobody can find another content with the same digest.
const digestSize = 16

// Digest identifies a Content without revealing any of it. The team is a part of the
// content, so that no team can get another team's requests barred.
type Digest [digestSize]byte

// ErrInvalidDigest is returned for bytes or text that are not a digest.
var ErrInvalidDigest = errors.New("no digest of a request")

// Digest computes the digest of the content.
func (c *Content) Digest() Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Team), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part))) // without the lengths, bytes could move from one part to the next without changing the digest
		h.Write(length[:])
		h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// String returns the digest in hexadecimal digits, as used in logs and by operators.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of String. It returns ErrInvalidDigest for other text.
func ParseDigest(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, ErrInvalidDigest
	}
	return DigestFromBytes(data)
}

// DigestFromBytes converts the bytes of a digest. It returns ErrInvalidDigest if their
// number is wrong.
func DigestFromBytes(data []byte) (Digest, error) {
	var d Digest
	if len(data) != digestSize {
		return d, ErrInvalidDigest
	}
	copy(d[:], data)
	return d, nil
}

// Shape is a cheap hash of all parts of a Content except the body, and of the body's
// length. Contents of different shapes are different requests, so that a digest is
// computed only for requests that have the shape of a known one.
type Shape uint64

// Shape computes the shape of the content.
func (c *Content) Shape() Shape {
	h := xxhash.New()
	for _, part := range []string{c.Team, c.Method, c.Host, c.Target} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write(partEnd)
	}
	return Shape(h.Sum64() ^ uint64(len(c.Body)))
}

var partEnd = []byte{0}
