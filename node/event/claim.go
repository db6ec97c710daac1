package event

import "go.uber.org/zap/zapcore"

// Claim events.
var (
	ClaimOutcomeDeferred    = Event{1301, "claim_settle_deferred", zapcore.WarnLevel, "A claim's end could not be written; it is kept in memory and written later. Frequent: the table service or object store is down."}
	ClaimOutcomeDropped     = Event{1302, "claim_settle_dropped", zapcore.ErrorLevel, "No room or time was left to write a claim's end; a repeat of the request is settled by asking the upstream, or is answered as unknown."}
	ClaimResolvedByUpstream = Event{1303, "claim_settled_by_fate", zapcore.InfoLevel, "The owner of a claim was lost; the upstream told what became of the attempt."}
	ClaimOutcomeUnknown     = Event{1304, "claim_fate_untold", zapcore.WarnLevel, "The owner of a claim was lost and the upstream could not tell what became of the attempt: the caller is told unknown. Look at the upstream's own records."}
	ClaimRangeOpened        = Event{1305, "claim_range_opened", zapcore.InfoLevel, "This host owns a range of claims from now on; records says how many it read."}
	ClaimRangeLost          = Event{1306, "claim_range_lost", zapcore.WarnLevel, "This host does not own a range of claims any more, or cannot tell; its waiting claims are refused."}
	ClaimsExpired           = Event{1307, "claims_swept", zapcore.InfoLevel, "Claims past their time were deleted; kept says how many wait for their upstream's word."}
	ClaimUnreadable         = Event{1308, "claim_unreadable", zapcore.ErrorLevel, "A claim's row cannot be read, so it is not deleted when its time is past, and its key is refused; restore the row, or delete it if its call may run again. row is its key."}
)

var claimEvents = []Event{ClaimOutcomeDeferred, ClaimOutcomeDropped, ClaimResolvedByUpstream, ClaimOutcomeUnknown,
	ClaimRangeOpened, ClaimRangeLost, ClaimsExpired, ClaimUnreadable}
