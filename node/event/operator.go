package event

import "go.uber.org/zap/zapcore"

// Events of operators.
var (
	OperatorRefused   = Event{2001, "operator_refused", zapcore.WarnLevel, "Somebody called the operators' interface without a known key."}
	OperatorChanged   = Event{2002, "operator_changed", zapcore.InfoLevel, "An operator's change was accepted; the audit trail has the details."}
	OperatorCancelled = Event{2003, "operator_cancelled", zapcore.InfoLevel, "An operator cancelled a caller's request."}
)

var operatorEvents = []Event{OperatorRefused, OperatorChanged, OperatorCancelled}
