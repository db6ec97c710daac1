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

// serve echoes one byte to each peer that gets through.
func (b *bench) serve(r *keys.Ring) string {
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

// echo tells whether a connection carries a byte there and back.
func echo(c net.Conn) error {
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// connect dials from one ring to a listener of another.
func (b *bench) connect(from, to *keys.Ring) error {
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

// logged waits for an event with a text in its reason.
func (b *bench) logged(number int64, reason string) poll.Check {
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

// Symptom: somebody passes as an entry host, and reads and changes what the
// hosts tell one another.
// Sequence: a stranger dials the peers' listener, or answers in a peer's place.
// Cause: a certificate is missing, not of our authority, over, or of another
// address, and is taken all the same.
func TestWrongCertificatesAreRefusedOnBothSides(t *testing.T) {
	stranger, err := pki.New("stranger")
	assert.NilError(t, err)
	here := pki.WithIPAddress("127.0.0.1")
	for _, c := range []struct {
		name           string
		ca             func(b *bench) *pki.Authority
		changes        []pki.CertificateOption
		client, server string // what the other side says of it
	}{
		{"unknown authority", func(*bench) *pki.Authority { return stranger }, []pki.CertificateOption{here}, "unknown authority", "unknown authority"},
		{"expired", func(b *bench) *pki.Authority { return b.ca }, []pki.CertificateOption{here, pki.WithExpiredValidity}, "expired", "expired"},
		{"another address", func(b *bench) *pki.Authority { return b.ca }, []pki.CertificateOption{pki.WithIPAddress("127.0.0.9")}, "127.0.0.9", "127.0.0.9"},
		{"no address, as an operator's", func(b *bench) *pki.Authority { return b.ca }, nil, "doesn't contain any IP SANs", "doesn't contain any IP SANs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			good := b.load()
			pair, err := c.ca(b).KeyPair("wrong", c.changes...)
			assert.NilError(t, err)
			conf := &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true,
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }}
			nc, err := tls.Dial("tcp", b.serve(good), conf)
			assert.NilError(t, err) // the server judges after the client is done
			assert.Assert(t, echo(nc) != nil, "the wrong client got through")
			poll.WaitOn(t, b.logged(1007, c.client))

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
			poll.WaitOn(t, b.logged(1008, c.server))
		})
	}
}

// Symptom: a host that has no certificate at all gets through.
// Sequence: it dials with TLS and shows none, or without TLS.
// Cause: the listener asks for a certificate but does not need it.
func TestACertificateIsNeeded(t *testing.T) {
	b := newBench(t)
	r := b.load()
	address := b.serve(r)
	c, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	assert.Assert(t, echo(c) != nil)
	poll.WaitOn(t, b.logged(1007, "didn't provide a certificate"))
	plain, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = plain.Write([]byte("no client hello"))
	assert.NilError(t, err)
	err = echo(plain)
	assert.Assert(t, err != nil && !errors.Is(err, context.Canceled))
	assert.NilError(t, b.connect(r, r), "the right one must get through")
}

// Symptom: a withdrawn authority's hosts still get through.
// Sequence: both authorities are trusted, certificates are renewed, the old
// authority is dropped from the files; no host restarts.
// Cause: listener or dialler goes on with what it read at its start.
func TestAuthoritiesChangeWithoutARestart(t *testing.T) {
	b := newBench(t)
	moved, behind := b.load(), b.load()
	next, err := pki.New("next")
	assert.NilError(t, err)
	assert.NilError(t, b.connect(behind, moved))

	b.files.Put(caFile, append(b.ca.PEM(), next.PEM()...))
	moved.Reload()
	behind.Reload()
	c, k, err := next.Issue("host", pki.WithIPAddress("127.0.0.1"))
	assert.NilError(t, err)
	b.files.Put(certFile, c)
	b.files.Put(keyFile, k)
	moved.Reload()
	assert.NilError(t, b.connect(behind, moved), "both authorities are trusted")
	assert.NilError(t, b.connect(moved, behind))

	b.files.Put(caFile, next.PEM())
	moved.Reload()
	assert.Assert(t, b.connect(behind, moved) != nil, "the old authority is still trusted")
}
