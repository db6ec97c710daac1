package event

import "go.uber.org/zap/zapcore"

// Events of the callers' interface.
var (
	RequestFailed = Event{1101, "request_failed", zapcore.WarnLevel, "A request failed behind this host, or its outcome is unknown. The caller got the step and the request's id; the peer and the cause are only here."}
)

var callerEvents = []Event{RequestFailed}
