package event

import "go.uber.org/zap/zapcore"

// Events of upstreams' reports.
var (
	ReportFailed = Event{1901, "report_failed", zapcore.WarnLevel, "An upstream did not give its report; said once until it does again. If it lasts, look at the upstream and the network to it."}
)

var upstreamEvents = []Event{ReportFailed}
