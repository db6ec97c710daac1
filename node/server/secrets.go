package server

import (
	"crypto/tls"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/token"
	"peridotpier.example/node/settings"
)

// Secrets are what must never stand in settings, logs or reports.
type Secrets struct {
	Resume     *token.Keys
	PrefixSalt string
	CallerTLS  *tls.Config // nil: plain TCP
}

const secretBytes = 32 // fewest bytes of a key file

// LoadSecrets reads the files that settings name.
func LoadSecrets(s *settings.Settings) (Secrets, error) {
	var keys []token.Key
	for i, k := range s.Keys.Resume {
		data, err := os.ReadFile(k.File)
		if err != nil {
			return Secrets{}, eris.Wrapf(err, "keys.resume[%d]", i)
		}
		keys = append(keys, token.Key{ID: k.ID, Secret: data})
	}
	signers, err := token.NewKeys(keys...)
	if err != nil {
		return Secrets{}, eris.Wrap(err, "keys.resume")
	}
	salt, err := os.ReadFile(s.Keys.PrefixSalt)
	if err != nil {
		return Secrets{}, eris.Wrap(err, "keys.prefix_salt_file")
	}
	if len(salt) < secretBytes {
		return Secrets{}, fmt.Errorf("keys.prefix_salt_file: %d bytes, at least %d are needed", len(salt), secretBytes)
	}
	return Secrets{Resume: signers, PrefixSalt: string(salt)}, nil
}
