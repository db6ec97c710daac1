package event

import "go.uber.org/zap/zapcore"

// Events of keys and certificates, in the number range of the process.
var (
	KeysReloaded        = Event{1004, "keys_reloaded", zapcore.InfoLevel, "Changed files of keys or certificates are in force; what says whose."}
	KeysRefused         = Event{1005, "keys_refused", zapcore.ErrorLevel, "Changed files of keys or certificates cannot be used; those in force stay. Mend the files: the next start of the host would fail."}
	CertificateExpiring = Event{1006, "certificate_ending", zapcore.WarnLevel, "A certificate in force ends soon or has ended; once it has, the other side refuses this host. Put a new one in its place."}
	HandshakeRefused    = Event{1007, "handshake_refused", zapcore.WarnLevel, "A TLS handshake on a listener failed; reason says whether the other side's certificate is missing, unknown, expired or of another address. held_back counts those before it that were not written."}
	PeerCertRefused     = Event{1008, "peer_certificate_refused", zapcore.WarnLevel, "The TLS handshake with an entry host that this one dialled failed; reason says whether its certificate is unknown, expired or of another address."}
	ConnectionError     = Event{1009, "connection_complaint", zapcore.WarnLevel, "The HTTP server complained of a connection or a handler; where says on which listener. A panic here is a bug: report it with its stack."}
)

var keysEvents = []Event{KeysReloaded, KeysRefused, CertificateExpiring, HandshakeRefused, PeerCertRefused, ConnectionError}
