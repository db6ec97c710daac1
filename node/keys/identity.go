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
	// endingSoon is how long before its end a certificate is warned of.
	endingSoon = 7 * 24 * time.Hour
	// warnEach is the least time between two warnings of one certificate.
	warnEach = 24 * time.Hour
)

// kind is who is on the other side of a listener.
type kind int

const (
	kindCaller   kind = iota // clients of any make; a certificate only where authorities are named
	kindOperator             // must show a certificate of an authority
	kindPeer                 // must show one with the address that it comes from
)

// identity is the certificate and the authorities of one listener.
type identity struct {
	name    string
	listen  netip.Addr
	files   *settings.TLS // nil: plain TCP
	kind    kind
	clock   func() time.Time
	current atomic.Pointer[material]
	warned  time.Time // guarded by Ring.mu
}

// material is what is in force, never changed once made.
type material struct {
	cert        tls.Certificate
	authorities *x509.CertPool // nil: the other side needs no certificate
	server      *tls.Config
}

func (r *Ring) identity(name string, l settings.Listener, k kind) *identity {
	id := &identity{name: name, files: l.TLS, kind: k, clock: r.deps.Now}
	if at, err := netip.ParseAddrPort(l.Address); err == nil {
		id.listen = at.Addr()
	}
	if l.TLS != nil {
		r.parts = append(r.parts, &part{name: name + ".tls", load: id.load})
	}
	return id
}

func (id *identity) load(rd *reader) (func(), error) {
	cert, err := id.loadPair(rd)
	if err != nil {
		return nil, err
	}
	m := &material{cert: cert}
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
	m.server = id.serverConfig(m)
	return func() { id.current.Store(m) }, nil
}

// loadPair reads certificate and key and checks that others will accept them:
// a wrong file must be found here, and not by every caller.
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
	leaf, now := pair.Leaf, id.clock()
	if now.Before(leaf.NotBefore) || !now.Before(leaf.NotAfter) {
		return none, fmt.Errorf("certificate: valid from %s to %s, not now", leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if id.kind == kindPeer && id.listen.IsValid() && !id.listen.IsUnspecified() {
		if err := leaf.VerifyHostname(id.listen.String()); err != nil {
			return none, eris.Wrap(err, "certificate")
		}
	}
	return pair, nil
}

// serverConfig makes the listener's side. Resumption is off where certificates
// are asked for: a resumed session would outlive the authority behind it.
func (id *identity) serverConfig(m *material) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"http/1.1"}, Time: id.clock}
	switch id.kind {
	case kindCaller:
		c.MinVersion = tls.VersionTLS12 // callers' libraries are not ours to choose
	case kindPeer:
		c.NextProtos = nil // drpc names no protocol
	}
	if m.authorities != nil {
		c.ClientAuth, c.ClientCAs, c.SessionTicketsDisabled = tls.RequireAndVerifyClientCert, m.authorities, true
	}
	return c
}

// server returns a configuration that follows what is in force, connection by
// connection; nil for plain TCP.
func (id *identity) server() *tls.Config {
	if id.files == nil {
		return nil
	}
	return &tls.Config{GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		c := id.current.Load().server
		if id.kind != kindPeer {
			return c, nil
		}
		c = c.Clone()
		c.VerifyConnection = func(s tls.ConnectionState) error { return holdsAddress(s, h.Conn.RemoteAddr()) }
		return c, nil
	}}
}

// holdsAddress checks that a peer comes from an address in its certificate.
// Without it, whoever got hold of any certificate of the authority, such as an
// operator's, could pass as an entry host from anywhere.
func holdsAddress(s tls.ConnectionState, from net.Addr) error {
	at, err := netip.ParseAddrPort(from.String())
	if err != nil {
		return eris.Wrap(err, "address of the other side")
	}
	return s.PeerCertificates[0].VerifyHostname(at.Addr().Unmap().WithZone("").String())
}

// client makes the dialling side towards a peer; nil for plain TCP.
func (id *identity) client(ip string) *tls.Config {
	m := id.current.Load()
	if m == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: m.authorities, ServerName: ip, Time: id.clock,
		// Shown whatever authorities the other side names, so that it can say
		// what is wrong with this certificate and not just that there is none.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &m.cert, nil }}
}

// warn tells in time of a certificate's end.
func (id *identity) warn(log *event.Log, now time.Time) {
	m := id.current.Load()
	if m == nil || m.cert.Leaf.NotAfter.Sub(now) > endingSoon || now.Sub(id.warned) < warnEach {
		return
	}
	id.warned = now
	log.Emit(event.CertificateExpiring, zap.String("what", id.name+".tls"), zap.Time("ends", m.cert.Leaf.NotAfter))
}
