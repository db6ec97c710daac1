package gate

import (
	"net/http"
	"time"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/backpressure"
	"peridotpier.example/node/fleet"
)

// Facts is what a request's head says of itself.
type Facts struct {
	Attempt string        // the caller's id of this attempt; "": none
	Left    time.Duration // that the caller will wait; 0: not said
	Model   string        // "": a call of a plain service
	Adapter string
	Prompt  int // tokens
	Output  int // tokens, at most
	Hint    int // tokens, the caller's guess; 0: none
	Parts   []fleet.Part
	After   string // last event that the caller has of a stream; "": from the start
	Counted bool   // it names its tokens
	Key     apikey.Hash
}

// Sending is what this host sets on an attempt.
type Sending struct {
	Left     time.Duration // that the upstream may work
	Upstream string        // the only process that may run it
	// Urgency is the request's place among all, 0 the most urgent, of Urgencies;
	// Ranked says that both are set.
	Urgency, Urgencies int
	Ranked             bool
	Team               string // whose request it is; "": nobody's
	After              string // event after which a stream goes on; "": as the caller sent
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	Attempt  string // the id that it answers
	Sealed   bool   // the upstream vouches for its bytes
	NotRun   bool   // the upstream did not run the request, and will not
	Upstream string // process that answered, if it says so
	Load     *fleet.Reported
	Leaving  bool          // the upstream's process takes nothing new
	Rest     time.Duration // for so long the upstream wants nothing from this host; 0: not said
	Limit    backpressure.Limit
	// LimitUnreadable says that the answer names a limit that cannot be read.
	LimitUnreadable bool
}

// Codec translates the headers of one platform.
type Codec interface {
	// Request decodes what a caller sent.
	Request(h http.Header) Facts
	// Sending sets what is this host's to set, in place of whatever a caller put there.
	Sending(h http.Header, s Sending)
	// Answer decodes an upstream's head.
	Answer(status int, h http.Header) Answer
}
