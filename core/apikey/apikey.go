// Package apikey holds callers' keys as hashes, so that no host, relay, log or
// dump keeps the key itself.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Hash is the SHA-256 of a key. The zero value is of no key.
type Hash [sha256.Size]byte

// HexLen is the length of a hash in hexadecimal, in characters.
const HexLen = 2 * sha256.Size

// ErrInvalidHash says that a text is not a hash in hexadecimal. The text is left
// out: it may be a key.
var ErrInvalidHash = eris.New("is not the SHA-256 of a key in hexadecimal")

// HashOf hashes a key; that of an empty one is the zero value.
func HashOf(key string) Hash {
	if key == "" {
		return Hash{}
	}
	return sha256.Sum256([]byte(key))
}

// Parse reads a hash in hexadecimal of either case.
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

// IsZero says whether there is no key.
func (h Hash) IsZero() bool { return h == Hash{} }

// String is the hash in lower-case hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) (err error) {
	*h, err = Parse(string(text))
	return err
}
