package event

import "go.uber.org/zap/zapcore"

// Configuration events.
var (
	ConfigCommitted     = Event{1601, "config_committed", zapcore.InfoLevel, "A change of configuration or preset that came through this host took effect."}
	ConfigInForce       = Event{1602, "config_in_force", zapcore.InfoLevel, "This host took a newer version in force."}
	ConfigUnreadable    = Event{1603, "config_unreadable", zapcore.ErrorLevel, "A newer version cannot be read or does not match its digest; the host stays on its own. Often a document made for a newer release."}
	ConfigStaleRead     = Event{1604, "config_stale_read", zapcore.InfoLevel, "The table or a peer showed an older version than the one in force; it was ignored."}
	ConfigUnconfirmed   = Event{1605, "config_unconfirmed", zapcore.WarnLevel, "This host has had no word for some time that its version is the newest; standing says what it still takes."}
	ConfigConfirmed     = Event{1606, "config_confirmed", zapcore.InfoLevel, "This host knows again that its version is the newest."}
	AuditArchived       = Event{1607, "audit_archived", zapcore.InfoLevel, "A batch of old audit entries was moved to the object store."}
	AuditArchiveFailed  = Event{1608, "audit_archive_failed", zapcore.WarnLevel, "A batch of old audit entries could not be moved; it is tried again later."}
	ConfigRewritten     = Event{1609, "config_written_again", zapcore.WarnLevel, "The table was restored from a copy and had lost the version in force; this host wrote it again. Entries of the audit trail after version was are lost: ask their authors."}
	ConfigRewriteFailed = Event{1610, "config_write_again_failed", zapcore.WarnLevel, "The version in force, which a restored table had lost, could not be written again; it is tried at the next poll."}
)

var configEvents = []Event{ConfigCommitted, ConfigInForce, ConfigUnreadable, ConfigStaleRead,
	ConfigUnconfirmed, ConfigConfirmed, AuditArchived, AuditArchiveFailed, ConfigRewritten, ConfigRewriteFailed}
