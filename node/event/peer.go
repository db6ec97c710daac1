package event

import "go.uber.org/zap/zapcore"

// Events between entry hosts.
var (
	PeerChanged     = Event{1701, "peer_changed", zapcore.InfoLevel, "An entry host came, left, or is suspect."}
	PeerUnreachable = Event{1702, "peer_unreachable", zapcore.WarnLevel, "This host could not reach another entry host on a new connection; the others are told that it is suspect. If it lives, it refutes that: then look at the network between the two."}
	PeerLinkLost    = Event{1703, "peer_link_lost", zapcore.WarnLevel, "A link to another entry host broke or went silent, though the host answers on a new connection. Often seen: look for a middle box that forgets connections."}
	PeerCallFailed  = Event{1704, "peer_call_failed", zapcore.WarnLevel, "A call to another entry host failed; it is made again in time."}
)

var peerEvents = []Event{PeerChanged, PeerUnreachable, PeerLinkLost, PeerCallFailed}
