package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/node/event"
	"peridotpier.example/node/settings"
)

const (
	// expiryWarning is how long before a certificate expires its warnings begin.
	expiryWarning = 7 * 24 * time.Hour
	// expiryWarningInterval is the minimum time between two warnings about one
	// certificate.
	expiryWarningInterval = 24 * time.Hour
)

// clientKind is the kind of clients that connect to a listener.
type clientKind int

const (
	kindCaller   clientKind = iota // any client; it needs a certificate only if authorities are configured
	kindOperator                   // needs a certificate of an authority
	kindPeer                       // needs a certificate of an authority with the address that it connects from
)

// identity is the TLS identity of one listener: its certificate and the authorities
// that it trusts.
type identity struct {
	name          string
	listenAddress netip.Addr
	files         *settings.TLS // names of the files; nil: plain TCP
	kind          clientKind
	now           func() time.Time
	current       atomic.Pointer[credentials]
	lastWarned    time.Time // guarded by Ring.mu
}

// credentials are the credentials in force. They are immutable.
type credentials struct {
	cert        tls.Certificate
	authorities *x509.CertPool // nil: clients need no certificate
	tlsConfig   *tls.Config
}

// identity returns the identity of a listener, not yet loaded, and adds its files to
// those of the ring.
func (r *Ring) identity(name string, l settings.Listener, k clientKind) *identity {
	id := &identity{name: name, files: l.TLS, kind: k, now: r.deps.Now}
	if at, err := netip.ParseAddrPort(l.Address); err == nil {
		id.listenAddress = at.Addr()
	}
	if l.TLS != nil {
		r.fileSets = append(r.fileSets, &fileSet{name: name + ".tls", load: id.load})
	}
	return id
}

// load reads and checks the files, and returns a function that puts them in force.
func (id *identity) load(rd *reader) (func(), error) {
	cert, err := id.loadPair(rd)
	if err != nil {
		return nil, err
	}
	m := &credentials{cert: cert}
	if id.files.Authorities != "" {
		data, err := rd.read(id.files.Authorities)
		if err != nil {
			return nil, eris.Wrap(err, "authorities")
		}
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(data) {
			return nil, errors.New("authorities: no certificate in the file")
		}
	}
	m.tlsConfig = id.serverConfig(m)
	return func() { id.current.Store(m) }, nil
}

// loadPair reads the certificate and key and checks that clients will accept them: a
// wrong file must be detected here, not by every caller.
func (id *identity) loadPair(rd *reader) (tls.Certificate, error) {
	var none tls.Certificate
	certificate, err := rd.read(id.files.Certificate)
	if err != nil {
		return none, eris.Wrap(err, "certificate")
	}
	key, err := rd.read(id.files.Key)
	if err != nil {
		return none, eris.Wrap(err, "key")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return none, eris.Wrap(err, "certificate and key")
	}
	leaf, now := pair.Leaf, id.now()
	if now.Before(leaf.NotBefore) || !now.Before(leaf.NotAfter) {
		return none, fmt.Errorf("certificate: valid from %s to %s, not now", leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if id.kind == kindPeer && id.listenAddress.IsValid() && !id.listenAddress.IsUnspecified() {
		if err := leaf.VerifyHostname(id.listenAddress.String()); err != nil {
			return none, eris.Wrap(err, "certificate")
		}
	}
	return pair, nil
}

// serverConfig returns the server's TLS configuration. Session resumption is off if
// clients need certificates: a resumed session would remain valid after its authority
// was removed.
func (id *identity) serverConfig(m *credentials) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"http/1.1"}, Time: id.now}
	switch id.kind {
	case kindCaller:
		c.MinVersion = tls.VersionTLS12 // callers choose their own libraries
	case kindPeer:
		c.NextProtos = nil // drpc negotiates no protocol
	}
	if m.authorities != nil {
		c.ClientAuth, c.ClientCAs, c.SessionTicketsDisabled = tls.RequireAndVerifyClientCert, m.authorities, true
	}
	return c
}

// serverTLS returns a TLS configuration that uses, for each new connection, the
// credentials then in force; nil for plain TCP.
func (id *identity) serverTLS() *tls.Config {
	if id.files == nil {
		return nil
	}
	return &tls.Config{GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		c := id.current.Load().tlsConfig
		if id.kind != kindPeer {
			return c, nil
		}
		c = c.Clone()
		c.VerifyConnection = func(s tls.ConnectionState) error { return verifySourceAddress(s, h.Conn.RemoteAddr()) }
		return c, nil
	}}
}

// verifySourceAddress checks that a peer connects from an address in its certificate.
// Without this check anyone who has a certificate of the authority, such as an
// operator's, could pass as an entry host from anywhere.
func verifySourceAddress(s tls.ConnectionState, from net.Addr) error {
	source, err := netip.ParseAddrPort(from.String())
	if err != nil {
		return eris.Wrap(err, "address of the other side")
	}
	return s.PeerCertificates[0].VerifyHostname(source.Addr().Unmap().WithZone("").String())
}

// clientTLS returns the TLS configuration for dialling the peer at an IP address; nil
// for plain TCP.
func (id *identity) clientTLS(ip string) *tls.Config {
	m := id.current.Load()
	if m == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.authorities, ServerName: ip, Time: id.now,
		// The certificate is sent whichever authorities the server names, so that
		// the server can report what is wrong with it and not just that it is
		// missing.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &m.cert, nil }}
}

// warnOfExpiry logs a warning if the certificate expires soon, at most one per
// expiryWarningInterval.
func (id *identity) warnOfExpiry(log *event.Log, now time.Time) {
	m := id.current.Load()
	if m == nil || m.cert.Leaf.NotAfter.Sub(now) > expiryWarning || now.Sub(id.lastWarned) < expiryWarningInterval {
		return
	}
	id.lastWarned = now
	log.Emit(event.CertificateExpiring, zap.String("what", id.name+".tls"), zap.Time("ends", m.cert.Leaf.NotAfter))
}
