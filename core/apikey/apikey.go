// Package apikey holds callers' API keys as hashes, so that no host, relay, log or
// dump contains a key itself.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"
)

// Hash is the SHA-256 of a key. The zero value means that there is no key.
type Hash [sha256.Size]byte

// HexLen is the number of characters of a hash in hexadecimal.
const HexLen = 2 * sha256.Size

// ErrInvalidHash is returned for a text that is not a hash in hexadecimal. It
// leaves the text out, which may be a key.
var ErrInvalidHash = eris.New("is not the SHA-256 of a key in hexadecimal")

// HashOf returns the hash of a key; that of an empty key is the zero value.
func HashOf(key string) Hash {
	if key == "" {
		return Hash{}
	}
	return sha256.Sum256([]byte(key))
}

// bearer begins an Authorization header that contains a key.
const bearer = "Bearer "

// OfHeader returns the hash of the key in an Authorization header; false if there is none.
func OfHeader(authorization string) (Hash, bool) {
	key, ok := strings.CutPrefix(authorization, bearer)
	if !ok || key == "" {
		return Hash{}, false
	}
	return HashOf(key), true
}

// Parse decodes a hash from hexadecimal in either case.
func Parse(text string) (Hash, error) {
	var h Hash
	if len(text) != HexLen {
		return h, ErrInvalidHash
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return Hash{}, ErrInvalidHash
	}
	return h, nil
}

// IsZero reports whether there is no key.
func (h Hash) IsZero() bool { return h == Hash{} }

// String returns the hash in lower-case hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) (err error) {
	*h, err = Parse(string(text))
	return err
}
