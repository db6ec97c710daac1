package operator

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/pki"
)

// Guards against an operator's certificate that is not shown to a node whose own
// certificate an authority of the system has signed.
func TestACertificateIsUsedWithoutAuthorities(t *testing.T) {
	authority, err := pki.New("operators")
	assert.NilError(t, err)
	cert, key, err := authority.Issue("asha")
	assert.NilError(t, err)
	f := Flags{CertFile: filepath.Join(t.TempDir(), "cert.pem"), CertKeyFile: filepath.Join(t.TempDir(), "key.pem")}
	assert.NilError(t, os.WriteFile(f.CertFile, cert, 0o600))
	assert.NilError(t, os.WriteFile(f.CertKeyFile, key, 0o600))
	c, err := f.tlsConfig()
	assert.NilError(t, err)
	assert.Assert(t, c != nil && len(c.Certificates) == 1)
	assert.Assert(t, c.RootCAs == nil, "the system's authorities")
}
