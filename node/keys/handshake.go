package keys

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"peridotpier.example/node/event"
)

const (
	// handshakeTimeout bounds a TLS handshake with a peer.
	handshakeTimeout = 5 * time.Second
	// refusalLogInterval and refusalLogBurst limit the rate of the log entries that
	// unknown clients can cause: a scanner must not fill the log.
	refusalLogInterval = time.Second
	refusalLogBurst    = 20
)

// refusalLog logs refused handshakes at a limited rate.
type refusalLog struct {
	log        *event.Log
	limit      *rate.Limiter
	suppressed *atomic.Int64 // events over the limit since the last one logged
}

func newRefusalLog(log *event.Log) refusalLog {
	return refusalLog{log: log, limit: rate.NewLimiter(rate.Every(refusalLogInterval), refusalLogBurst), suppressed: new(atomic.Int64)}
}

func (r refusalLog) emit(e event.Event, fields ...zap.Field) {
	if !r.limit.Allow() {
		r.suppressed.Add(1)
		return
	}
	r.log.Emit(e, append(fields, zap.Int64("held_back", r.suppressed.Swap(0)))...)
}

// LogRefused logs a handshake that failed on a listener, at a limited rate.
func (r *Ring) LogRefused(listener, peer, reason string) {
	r.refusals.emit(event.HandshakeRefused, zap.String("where", listener), zap.String(event.FieldPeer, peer), zap.String("reason", reason))
}

// CallerListener wraps the callers' listener in TLS if the settings name a
// certificate for it.
func (r *Ring) CallerListener(ln net.Listener) net.Listener { return wrapTLS(ln, r.caller) }

// OperatorListener wraps the operators' listener in TLS if the settings name a
// certificate for it.
func (r *Ring) OperatorListener(ln net.Listener) net.Listener { return wrapTLS(ln, r.operator) }

func wrapTLS(ln net.Listener, id *identity) net.Listener {
	c := id.serverTLS()
	if c == nil {
		return ln
	}
	return tls.NewListener(ln, c)
}

// PeerListener wraps the listener for entry hosts in TLS if the settings name a
// certificate for it. The server on it does not log why a connection ended, so the
// listener logs failed handshakes.
func (r *Ring) PeerListener(ln net.Listener) net.Listener {
	c := r.peer.serverTLS()
	if c == nil {
		return ln
	}
	return &peerListener{Listener: ln, ring: r, config: c}
}

type peerListener struct {
	net.Listener
	ring   *Ring
	config *tls.Config
}

// Accept implements net.Listener. The handshake runs at the first use of the
// connection, in the goroutine that uses it: if it ran here, one slow client would
// block all others.
func (l *peerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: tls.Server(c, l.config), ring: l.ring}, nil
}

// peerConn is a server-side TLS connection with a bounded handshake, whose failure
// is logged.
type peerConn struct {
	*tls.Conn
	ring *Ring
	once sync.Once
	err  error
}

func (c *peerConn) handshake() error {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		if c.err = c.Conn.HandshakeContext(ctx); c.err != nil {
			c.ring.LogRefused("peers", c.RemoteAddr().String(), c.err.Error())
		}
	})
	return c.err
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *peerConn) Write(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// PeersUseTLS reports whether entry hosts communicate over TLS.
func (r *Ring) PeersUseTLS() bool { return r.peer.files != nil }

// SecurePeerConn performs the client's TLS handshake on a connection to the peer at
// address. Without TLS for peers it returns nc unchanged. It closes nc when it fails.
func (r *Ring) SecurePeerConn(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	cfg := r.peer.clientTLS(host)
	if cfg == nil {
		return nc, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c := tls.Client(nc, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		r.refusals.emit(event.PeerCertRefused, zap.String(event.FieldPeer, address), zap.String("reason", err.Error()))
		return nil, err
	}
	return c, nil
}
