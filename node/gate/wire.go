package gate

import (
	"net/http"
	"time"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// RequestInfo is what a request's head says of itself.
type RequestInfo struct {
	AttemptID       string        // the caller's id of this attempt; "": none
	TimeLeft        time.Duration // that the caller will wait; 0: not said
	Model           string        // "": a call of a plain service
	Adapter         string
	PromptTokens    int // tokens
	MaxOutputTokens int // tokens, at most
	OutputHint      int // tokens, the caller's guess; 0: none
	PromptParts     []fleet.PromptPart
	LastEventID     string // last event that the caller has of a stream; "": from the start
	DeclaresTokens  bool   // it names its tokens
	Key             apikey.Hash
}

// AttemptInfo is what this host sets on an attempt.
type AttemptInfo struct {
	TimeLeft time.Duration // that the upstream may work
	Upstream string        // the only process that may run it
	// Urgency is the request's place among all, 0 the most urgent, of Urgencies;
	// Ranked says that both are set.
	Urgency, UrgencyLevels int
	HasUrgency             bool
	Team                   string // whose request it is; "": nobody's
	LastEventID            string // event after which a stream goes on; "": as the caller sent
}

// ResponseInfo is what the head of an upstream's answer says.
type ResponseInfo struct {
	AttemptID string // the id that it answers
	Sealed    bool   // the upstream vouches for its bytes
	NotRun    bool   // the upstream did not run the request, and will not
	Upstream  string // process that answered, if it says so
	Load      *fleet.ReportedLoad
	Draining  bool          // the upstream's process takes nothing new
	Backoff   time.Duration // for so long the upstream wants nothing from this host; 0: not said
	Limit     backpressure.Limit
	// LimitUnreadable says that the answer names a limit that cannot be read.
	LimitUnreadable bool
}

// Codec translates the headers of one platform.
type Codec interface {
	// Request decodes what a caller sent.
	DecodeRequest(h http.Header) RequestInfo
	// Sending sets what is this host's to set, in place of whatever a caller put there.
	SetAttempt(h http.Header, info AttemptInfo)
	// Answer decodes an upstream's head.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
