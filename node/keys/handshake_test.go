package keys_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/node/keys"
	"peridotpier.example/standin/pki"
)

// serve listens with a ring's peer listener and echoes one byte to each accepted
// peer. It returns the address.
func (b *fixture) serve(r *keys.Ring) string {
	b.t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	ln := r.PeerListener(plain)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(c, c, 1) // refused peers show in the log
			_ = c.Close()
		}
	}()
	b.t.Cleanup(func() { _ = ln.Close(); <-done })
	return plain.Addr().String()
}

// echo returns an error unless a connection carries a byte there and back. It closes
// the connection.
func echo(c net.Conn) error {
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// connect dials from one ring to a listener of another, and exchanges a byte.
func (b *fixture) connect(from, to *keys.Ring) error {
	b.t.Helper()
	address := b.serve(to)
	nc, err := net.Dial("tcp", address)
	assert.NilError(b.t, err)
	c, err := from.SecurePeerConn(context.Background(), nc, address)
	if err != nil {
		return err
	}
	return echo(c)
}

// hasLogged returns a check for a logged event with a text in its reason.
func (b *fixture) hasLogged(number int64, reason string) poll.Check {
	return func(poll.LogT) poll.Result {
		for _, e := range b.logs.All() {
			m := e.ContextMap()
			if m["event"] == number && strings.Contains(m["reason"].(string), reason) {
				return poll.Success()
			}
		}
		return poll.Continue("no event %d with %q in %v", number, reason, b.logs.All())
	}
}

// Guards against an impostor that passes as an entry host, and reads and changes what
// hosts exchange. It dials the peers' listener, or answers in a peer's place, with a
// certificate of an unknown authority, an expired one, or one without its address;
// such a certificate must not be accepted.
func TestWrongCertificatesAreRefusedOnBothSides(t *testing.T) {
	stranger, err := pki.New("stranger")
	assert.NilError(t, err)
	here := pki.WithIPAddress("127.0.0.1")
	for _, c := range []struct {
		name           string
		ca             func(b *fixture) *pki.Authority
		changes        []pki.CertificateOption
		client, server string // in the other side's reason for refusing the wrong client or server
	}{
		{"unknown authority", func(*fixture) *pki.Authority { return stranger }, []pki.CertificateOption{here}, "unknown authority", "unknown authority"},
		{"expired", func(b *fixture) *pki.Authority { return b.ca }, []pki.CertificateOption{here, pki.WithExpiredValidity}, "expired", "expired"},
		{"another address", func(b *fixture) *pki.Authority { return b.ca }, []pki.CertificateOption{pki.WithIPAddress("127.0.0.9")}, "127.0.0.9", "127.0.0.9"},
		{"no address, as an operator's", func(b *fixture) *pki.Authority { return b.ca }, nil, "doesn't contain any IP SANs", "doesn't contain any IP SANs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t)
			good := b.load()
			pair, err := c.ca(b).KeyPair("wrong", c.changes...)
			assert.NilError(t, err)
			conf := &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true,
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }}
			nc, err := tls.Dial("tcp", b.serve(good), conf)
			assert.NilError(t, err) // the server verifies after the client has finished its handshake
			assert.Assert(t, echo(nc) != nil, "the wrong client was accepted")
			poll.WaitOn(t, b.hasLogged(1007, c.client))

			ln, err := tls.Listen("tcp", "127.0.0.1:0", conf)
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				if nc, err := ln.Accept(); err == nil {
					_ = nc.(*tls.Conn).Handshake() // fails, as the client refuses
					_ = nc.Close()
				}
			}()
			plain, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(t, err)
			_, err = good.SecurePeerConn(t.Context(), plain, ln.Addr().String())
			assert.ErrorContains(t, err, c.server)
			poll.WaitOn(t, b.hasLogged(1008, c.server))
		})
	}
}

// Guards against a peers' listener that requests a certificate without requiring it:
// a host without one would be accepted, with TLS or without.
func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	b := newFixture(t)
	r := b.load()
	address := b.serve(r)
	c, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	assert.Assert(t, echo(c) != nil)
	poll.WaitOn(t, b.hasLogged(1007, "didn't provide a certificate"))
	plain, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = plain.Write([]byte("no client hello"))
	assert.NilError(t, err)
	err = echo(plain)
	assert.Assert(t, err != nil && !errors.Is(err, context.Canceled))
	assert.NilError(t, b.connect(r, r), "a valid certificate must be accepted")
}

// Guards against a listener or dialler that still trusts a removed authority, because
// it uses what it read at its start. Both authorities are trusted at first,
// certificates are renewed, and the old authority is removed from the files; no host
// restarts.
func TestAuthoritiesChangeWithoutARestart(t *testing.T) {
	b := newFixture(t)
	renewed, unrenewed := b.load(), b.load()
	next, err := pki.New("next")
	assert.NilError(t, err)
	assert.NilError(t, b.connect(unrenewed, renewed))

	b.files.Put(caFile, append(b.ca.PEM(), next.PEM()...))
	renewed.Reload()
	unrenewed.Reload()
	c, k, err := next.Issue("host", pki.WithIPAddress("127.0.0.1"))
	assert.NilError(t, err)
	b.files.Put(certFile, c)
	b.files.Put(keyFile, k)
	renewed.Reload()
	assert.NilError(t, b.connect(unrenewed, renewed), "both authorities are trusted")
	assert.NilError(t, b.connect(renewed, unrenewed))

	b.files.Put(caFile, next.PEM())
	renewed.Reload()
	assert.Assert(t, b.connect(unrenewed, renewed) != nil, "the old authority is still trusted")
}
