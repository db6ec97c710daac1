package poison

import (
	"encoding/binary"
	"hash/maphash"

	"github.com/cespare/xxhash/v2"
)

// maxParts bounds the parts of one prompt that are suspects. Parts after these are
// suspected only as a part of their request.
const maxParts = 8

// Fingerprint identifies a suspect to other hosts: a whole request, or a part of prompts.
type Fingerprint struct {
	Digest Digest
	Shape  Shape
	// Place is 0 for a whole request. For a part of prompts it counts from 1: the later a
	// part comes, the fewer requests have it.
	Place uint8
	// Answered reports that the request was answered not long before its upstream crashed. It
	// is not known of parts, which may become harmful.
	Answered bool
}

// IsPart reports whether the suspect is a part of prompts.
func (f *Fingerprint) IsPart() bool { return f.Place > 0 }

// Fingerprint computes the digest and the shape of the content.
func (c *Content) Fingerprint() Fingerprint { return Fingerprint{Digest: c.Digest(), Shape: c.Shape()} }

// Parts lists the parts of a prompt that requests may share, by the ids that callers give
// them.
type Parts interface {
	Len() int
	ID(i int) string
}

// PartFingerprint returns the fingerprint of the part with an id, the i-th of its prompt.
// It depends on no team: a part harms whoever sends it.
func PartFingerprint(id string, i int) Fingerprint {
	return FingerprintOfPart(partShape(id), uint8(i+1))
}

// FingerprintOfPart returns the fingerprint of the part with a shape, which identifies it: who
// finds another id of the same shape can name the part itself as well.
func FingerprintOfPart(s Shape, place uint8) Fingerprint {
	f := Fingerprint{Shape: s, Place: place}
	binary.BigEndian.PutUint64(f.Digest[:], uint64(s))
	return f
}

// partShape returns the shape of a part.
func partShape(id string) Shape { return Shape(xxhash.Sum64String(id)) }

// Request is a request's content and the parts of its prompt: the suspects when its
// upstream crashes. It must be used by one goroutine only.
type Request struct {
	content     Content
	parts       Parts // nil: none
	fingerprint Fingerprint
	computed    bool
}

// NewRequest returns a Request for a content and parts that do not change any more; parts
// may be nil.
func NewRequest(c Content, parts Parts) *Request { return &Request{content: c, parts: parts} }

// maxHashedBytes bounds the bodies of requests that Hash identifies.
const maxHashedBytes = 64 << 10

// Hash identifies the content of the request within this process, in a fraction of the time
// of its digest; ok is false if it is too large for that.
func (r *Request) Hash(seed maphash.Seed) (hash uint64, ok bool) {
	if len(r.content.Body) > maxHashedBytes {
		return 0, false
	}
	var h maphash.Hash
	h.SetSeed(seed)
	for _, part := range []string{r.content.Team, r.content.Method, r.content.Host, r.content.Target} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write(partEnd)
	}
	_, _ = h.Write(r.content.Body)
	return h.Sum64(), true
}

// Len returns the number of the request's suspects. The first is the request itself.
func (r *Request) Len() int {
	if r.parts == nil {
		return 1
	}
	return 1 + min(r.parts.Len(), maxParts)
}

// Shape returns the shape of the i-th suspect.
func (r *Request) Shape(i int) Shape {
	switch {
	case i > 0:
		return partShape(r.parts.ID(i - 1))
	case r.computed:
		return r.fingerprint.Shape
	}
	return r.content.Shape()
}

// Fingerprint returns the fingerprint of the i-th suspect.
func (r *Request) Fingerprint(i int) Fingerprint {
	if i > 0 {
		return PartFingerprint(r.parts.ID(i-1), i-1)
	}
	if !r.computed {
		r.fingerprint, r.computed = r.content.Fingerprint(), true
	}
	return r.fingerprint
}

// Suspects returns the fingerprints of all suspects.
func (r *Request) Suspects() []Fingerprint {
	all := make([]Fingerprint, r.Len())
	for i := range all {
		all[i] = r.Fingerprint(i)
	}
	return all
}

// Digest returns the digest of the request itself.
func (r *Request) Digest() Digest { return r.Fingerprint(0).Digest }

// DigestsOf returns the digests of the requests, and those of the parts, among suspects.
func DigestsOf(suspects []Fingerprint) (requests, parts []Digest) {
	for i := range suspects {
		if suspects[i].IsPart() {
			parts = append(parts, suspects[i].Digest)
		} else {
			requests = append(requests, suspects[i].Digest)
		}
	}
	return requests, parts
}
