package gate

import (
	"net/http"
	"time"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// RequestInfo is what the head of a caller's request says about the request.
type RequestInfo struct {
	AttemptID       string        // the caller's id of this attempt; "": none
	TimeLeft        time.Duration // how long the caller waits; 0: not stated
	Model           string        // "": the request is for a plain service
	Adapter         string
	PromptTokens    int // number of prompt tokens
	MaxOutputTokens int // upper bound of the output tokens
	OutputHint      int // the caller's estimate of the output tokens; 0: none
	PromptParts     []fleet.PromptPart
	Resumes         string // attempt that brought the first event of the stream that the caller takes up; "": none is named
	ResumesInvalid  bool   // the caller names no attempt, several, or one that is too long
	LastEventID     string // last event that the caller has of a stream; "": from the start
	DeclaresTokens  bool   // the request states its token counts
	Key             apikey.Hash
}

// AttemptInfo is what this host sets on an attempt.
type AttemptInfo struct {
	TimeLeft time.Duration // how long the upstream may work
	Upstream string        // the only process that may run the request
	// Urgency is the request's rank among UrgencyLevels; 0 is the most urgent.
	// HasUrgency reports whether both are set.
	Urgency, UrgencyLevels int
	HasUrgency             bool
	Team                   string // the team that the request belongs to; "": none
	LastEventID            string // event after which a stream is resumed; "": as the caller sent
}

// ResponseInfo is what the head of an upstream's response says.
type ResponseInfo struct {
	AttemptID string // the id of the attempt that it responds to
	Sealed    bool   // the upstream vouches for the response's bytes
	NotRun    bool   // the upstream did not run the request and will not run it
	Upstream  string // process that responded, if stated
	// Said is what the process that responded says of itself; nil: it is not known to be the
	// upstream's, so that nothing is read of it.
	Said *Statements
}

// Statements are what an upstream says of itself on a response.
type Statements struct {
	Load     *fleet.ReportedLoad
	Draining bool          // the upstream accepts no new requests
	Backoff  time.Duration // how long the upstream wants no requests from this host; 0: not stated
	Limit    backpressure.Limit
	Brittle  backpressure.Brittle
	// LimitUnreadable reports that the response names a limit that cannot be parsed.
	LimitUnreadable bool
}

// Codec encodes and decodes the headers of one platform.
type Codec interface {
	// DecodeRequest decodes the headers that a caller sent.
	DecodeRequest(h http.Header) RequestInfo
	// SetAttempt sets the headers that this host sets, replacing what a caller put there.
	SetAttempt(h http.Header, info AttemptInfo)
	// SetForwarded sets the time left, and the event after which a stream is resumed, of a
	// request that is forwarded to another host; "" leaves what the caller sent.
	SetForwarded(h http.Header, timeLeft time.Duration, lastEventID string)
	// AnsweredAttempt returns the id of the attempt that an upstream's response names; "":
	// none. Nothing else is read of a response before it is known to be the request's.
	AnsweredAttempt(h http.Header) string
	// DecodeResponse decodes the head of an upstream's response to the request.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
