package event

import "go.uber.org/zap/zapcore"

// Planner and order events.
var (
	PlannerTookOver   = Event{1801, "planner_took_over", zapcore.InfoLevel, "This host plans the pool now, under the epoch given."}
	PlannerSuperseded = Event{1802, "planner_superseded", zapcore.WarnLevel, "Another host plans the pool; this one's lease had lapsed. Its writes were refused."}
	MoveDecided       = Event{1803, "move_decided", zapcore.InfoLevel, "A load or unload is in the books and its order goes out; why says what for."}
	MoveRefused       = Event{1804, "move_refused", zapcore.WarnLevel, "The ledger refused a planned move. Once in a while it is harmless; a steady run of it is a bug."}
	OrderUnconfirmed  = Event{1805, "order_in_doubt", zapcore.WarnLevel, "No answer to an order. Its memory stays charged until a report settles it."}
	OrderRefused      = Event{1806, "order_refused", zapcore.WarnLevel, "An engine refused an order; reason says why. Check its fencing setting if it repeats."}
	OrderNotSent      = Event{1807, "order_held_back", zapcore.WarnLevel, "An order was not sent: the lease or the order's window had passed. The next plan decides anew."}
	LedgerReadFailed  = Event{1808, "ledger_unread", zapcore.WarnLevel, "The books could not be read, so the pool is not planned. Check the table service."}
	LedgerWriteFailed = Event{1809, "ledger_write_failed", zapcore.WarnLevel, "A write to the books failed or is in doubt; no order was sent for it. Check the table service."}
)

var plannerEvents = []Event{PlannerTookOver, PlannerSuperseded, MoveDecided, MoveRefused, OrderUnconfirmed, OrderRefused, OrderNotSent,
	LedgerReadFailed, LedgerWriteFailed}
