// Package pki makes a certificate authority, certificates and secrets in memory,
// for the demo and for tests. They exist only in the memory of the process.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Validity of certificates, and how far it begins in the past, to allow for clocks
// that differ.
const (
	validity   = 30 * 24 * time.Hour
	backdating = time.Hour
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a new key and a self-signed certificate.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make the authority's key")
	}
	t := template(name)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage, t.ExtKeyUsage = true, true, x509.KeyUsageCertSign, nil
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "make the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, eris.Wrap(err, "parse the authority's certificate")
}

func template(name string) *x509.Certificate {
	now := time.Now()
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // rand.Reader never fails
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdating), NotAfter: now.Add(validity),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

// CertPool returns a pool that trusts only this authority.
func (a *Authority) CertPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// CertificateOption changes a certificate before it is signed.
type CertificateOption func(*x509.Certificate)

// WithExpiredValidity makes a certificate that has expired.
func WithExpiredValidity(c *x509.Certificate) {
	c.NotBefore, c.NotAfter = c.NotBefore.Add(-validity), c.NotBefore
}

// WithIPAddress adds an IP address to the certificate.
func WithIPAddress(ip string) CertificateOption {
	return func(c *x509.Certificate) { c.IPAddresses = append(c.IPAddresses, net.ParseIP(ip)) }
}

// Issue makes a key and signs a certificate for it. Both are returned in PEM.
func (a *Authority) Issue(name string, changes ...CertificateOption) (certificate, key []byte, err error) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "make a key")
	}
	t := template(name)
	for _, change := range changes {
		change(t)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, own.Public(), a.key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "sign a certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(own)
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", raw), eris.Wrap(err, "encode a key")
}

// KeyPair returns the result of Issue in the form that a dialler needs.
func (a *Authority) KeyPair(name string, changes ...CertificateOption) (tls.Certificate, error) {
	c, k, err := a.Issue(name, changes...)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(c, k)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
