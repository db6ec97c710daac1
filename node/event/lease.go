package event

import "go.uber.org/zap/zapcore"

// Lease events.
var (
	LeaseAcquired      = Event{1501, "lease_taken", zapcore.InfoLevel, "This process holds the lease in a new epoch."}
	LeaseLost          = Event{1502, "lease_lost", zapcore.WarnLevel, "The lease was taken over or its time ran out before a renewal was confirmed; the role stops here. Often after a store outage or a pause of the process."}
	LeaseReleased      = Event{1503, "lease_released", zapcore.InfoLevel, "The lease was handed over on shutdown."}
	LeaseReleaseFailed = Event{1504, "lease_release_failed", zapcore.WarnLevel, "The lease could not be handed over on shutdown; its successor waits for it to run out."}
	LeaseRecordCorrupt = Event{1505, "lease_record_corrupt", zapcore.ErrorLevel, "The lease's row cannot be read or names no epoch, so nobody takes it and nobody has the role; said once a minute while it lasts. Write it with an empty holder and an epoch above the last one of lease_taken. Don't delete it: epochs would be used again. version is the row's."}
)

var leaseEvents = []Event{LeaseAcquired, LeaseLost, LeaseReleased, LeaseReleaseFailed, LeaseRecordCorrupt}
