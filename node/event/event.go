// Package event writes the node's log: numbered events with typed fields,
// each listed in docs/EVENTS.md. A number never changes its meaning.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log entry.
type Event struct {
	Number int
	Name   string
	Level  zapcore.Level
	About  string // meaning of the event and what an operator should do, for docs/EVENTS.md
}

// Names of fields that several events use.
const (
	FieldEvent = "event"
	FieldStep  = "step"
	FieldPeer  = "peer"
	// FieldEntryHost is the host that a caller sent a request to, in lines of another one.
	FieldEntryHost = "entry_host"
	FieldTeam      = "team"
)

// Log writes numbered events.
type Log struct{ z *zap.Logger }

// NewLog returns a log that writes to z; with a nil z it discards everything.
func NewLog(z *zap.Logger) *Log {
	if z == nil {
		z = zap.NewNop()
	}
	return &Log{z: z}
}

// Emit writes one event with its fields.
func (l *Log) Emit(e Event, fields ...zap.Field) {
	if c := l.z.Check(e.Level, e.Name); c != nil {
		c.Write(append([]zap.Field{zap.Int(FieldEvent, e.Number)}, fields...)...)
	}
}

// With returns a log that adds fields to each event.
func (l *Log) With(fields ...zap.Field) *Log { return &Log{z: l.z.With(fields...)} }
