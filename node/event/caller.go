package event

import "go.uber.org/zap/zapcore"

// Events of the callers' interface.
var (
	RequestFailed   = Event{1101, "request_failed", zapcore.WarnLevel, "A request failed behind this host, or its outcome is unknown. The caller got the step and the request's id; the peer and the cause are only here."}
	HandlerPanicked = Event{1102, "handler_panicked", zapcore.ErrorLevel, "The handler of a request panicked: its connection was closed without an answer, and it may have run. value is what it panicked with, or that one's type; stack says where. Report it as a defect."}
)

var callerEvents = []Event{RequestFailed, HandlerPanicked}
