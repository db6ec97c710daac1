// Package token signs and verifies resume tokens, with which a caller resumes an
// interrupted stream through any entry host. A token is signed, so that it cannot
// be forged, and names its team, so that no other team can use it.
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

// Size limits.
const (
	maxEncoded = 2048 // bytes; leaves room for a request's other headers, and nothing larger is parsed
	minSecret  = 32   // bytes; the length of the hash
)

// Token names the stream that may be resumed and where it runs.
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
	ID     string // must not contain a dot
	Secret []byte
}

// Keys signs with its first key and accepts all of its keys: during a rotation,
// hosts with and without the new key must accept each other's tokens. Add the new
// key last on every host, then move it to the front, and remove the old key after
// the longest lifetime of a token.
type Keys struct{ keys []Key }

// NewKeys checks the keys and returns them as Keys.
func NewKeys(keys ...Key) (*Keys, error) {
	if len(keys) == 0 {
		return nil, errors.New("no resume token key")
	}
	seen := map[string]bool{}
	for _, k := range keys {
		switch {
		case k.ID == "" || strings.Contains(k.ID, ".") || seen[k.ID]:
			return nil, errors.New("id of a resume token key is empty, contains a dot or is used twice: " + k.ID)
		case len(k.Secret) < minSecret:
			return nil, errors.New("resume token key is shorter than 32 bytes: " + k.ID)
		}
		seen[k.ID] = true
	}
	return &Keys{keys: append([]Key(nil), keys...)}, nil
}

// Encode returns t signed, as "<key id>.<payload>.<signature>".
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

// Decode verifies a token that a caller of the given team presented.
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

// verify returns the payload of a token with a valid signature. It parses nothing
// of the payload before the signature is verified.
func (k *Keys) verify(s string) ([]byte, error) {
	cut := strings.LastIndexByte(s, '.')
	// base64 decoding ignores line breaks, so one token would have many spellings.
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
