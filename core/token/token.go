// Package token makes and checks resume tokens: what a caller shows to any
// entry host to take up its broken stream again. A token is signed, so that
// nobody can make one, and names its team, so that no other team can use it.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"time"
)

// Errors of Decode. All but ErrExpired look alike to a caller.
var (
	ErrMalformed = errors.New("resume token malformed")
	ErrSignature = errors.New("resume token not signed by a current key")
	ErrTeam      = errors.New("resume token of another team")
	ErrExpired   = errors.New("resume token expired")
)

// Bounds.
const (
	maxEncoded = 2048 // bytes; a header's fair share, and nothing larger is parsed
	minSecret  = 32   // bytes; as long as the hash
)

// Token says which stream may be resumed and where it runs.
type Token struct {
	Team        string `json:"t"`
	Request     string `json:"r"`
	Attempt     string `json:"a"`
	Upstream    string `json:"u"`
	Incarnation string `json:"i"`
	Model       string `json:"m"`
	Expires     int64  `json:"e"` // Unix seconds
}

// Key is one signing key.
type Key struct {
	ID     string // without a dot
	Secret []byte
}

// Keys signs with the first key and accepts all: while keys rotate, hosts
// that have the new key and hosts that have not must accept each other's
// tokens. Add the new key last everywhere, then move it first, then drop the
// old one after the longest life of a token.
type Keys struct{ keys []Key }

// NewKeys checks the keys.
func NewKeys(keys ...Key) (*Keys, error) {
	if len(keys) == 0 {
		return nil, errors.New("no key for resume tokens")
	}
	seen := map[string]bool{}
	for _, k := range keys {
		switch {
		case k.ID == "" || strings.Contains(k.ID, ".") || seen[k.ID]:
			return nil, errors.New("id of a key for resume tokens is empty, has a dot or stands twice: " + k.ID)
		case len(k.Secret) < minSecret:
			return nil, errors.New("key for resume tokens is shorter than 32 bytes: " + k.ID)
		}
		seen[k.ID] = true
	}
	return &Keys{keys: append([]Key(nil), keys...)}, nil
}

// Encode signs t: "<key id>.<payload>.<signature>".
func (k *Keys) Encode(t Token) (string, error) {
	payload, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	signed := k.keys[0].ID + "." + base64.RawURLEncoding.EncodeToString(payload)
	out := signed + "." + base64.RawURLEncoding.EncodeToString(sign(k.keys[0], signed))
	if len(out) > maxEncoded {
		return "", ErrMalformed
	}
	return out, nil
}

// Decode checks a token that a caller of the given team showed.
func (k *Keys) Decode(s, team string, now time.Time) (Token, error) {
	payload, err := k.verify(s)
	if err != nil {
		return Token{}, err
	}
	var t Token
	if err := json.Unmarshal(payload, &t); err != nil {
		return Token{}, ErrMalformed
	}
	switch {
	case t.Team != team:
		return Token{}, ErrTeam
	case now.Unix() >= t.Expires:
		return Token{}, ErrExpired
	}
	return t, nil
}

// verify returns the payload of a rightly signed token. Nothing of the payload
// is parsed before the signature holds.
func (k *Keys) verify(s string) ([]byte, error) {
	cut := strings.LastIndexByte(s, '.')
	// base64 skips line breaks, so that one token would have many spellings.
	if len(s) > maxEncoded || cut < 0 || strings.ContainsAny(s, "\r\n") {
		return nil, ErrMalformed
	}
	signed := s[:cut]
	id, encoded, ok := strings.Cut(signed, ".")
	sig, err := base64.RawURLEncoding.Strict().DecodeString(s[cut+1:])
	if !ok || err != nil {
		return nil, ErrMalformed
	}
	key, ok := k.findKey(id)
	// hmac.Equal takes the same time wherever the first difference is; with
	// bytes.Equal a signature could be guessed byte by byte.
	if !ok || !hmac.Equal(sig, sign(key, signed)) {
		return nil, ErrSignature
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return nil, ErrMalformed
	}
	return payload, nil
}

func (k *Keys) findKey(id string) (Key, bool) {
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

func sign(k Key, signed string) []byte {
	m := hmac.New(sha256.New, k.Secret)
	m.Write([]byte(signed))
	return m.Sum(nil)
}
