package gate

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/upstream/conn"
)

// Headers of a request that one host forwards to another, and of the answer to it.
// Neither callers nor upstreams see them.
const (
	hopFrom    = "Peridotpier-Hop-From"    // name of the host that forwards the request; its presence marks a forwarded request
	hopVersion = "Peridotpier-Hop-Version" // of the configuration that the forwarding host handles the request under
	hopSends   = "Peridotpier-Hop-Sends"   // request: attempts made so far; answer: attempts that the other host made
	hopRuns    = "Peridotpier-Hop-Runs"    // request: how often the other host may have it run; absent: as often as its route allows
	hopCharged = "Peridotpier-Hop-Charged" // "1": the forwarding host has charged the team's limit
	hopBegan   = "Peridotpier-Hop-Began"   // request: version of the software that began the stream; answer: version that wrote it
	hopOutcome = "Peridotpier-Hop-Outcome" // what the answer is, see the outcomes
	hopRequest = "Peridotpier-Hop-Request" // answer: the caller's id of the attempt that it is for

	hopYes = "1"
)

var hopHeaders = []string{hopFrom, hopVersion, hopSends, hopRuns, hopCharged, hopBegan, hopOutcome, hopRequest}

// hopResult says what the answer of a host is to which a request was forwarded.
type hopResult string

// The results. An answer without one of them says nothing about whether the request ran.
const (
	hopAnswered    hopResult = "answered"     // an upstream's answer
	hopHostRefused hopResult = "host_refused" // not run: this host does not take the request, another one may
	hopNotRun      hopResult = "not_run"      // not run: no upstream takes the request in time, whichever host asks
	hopUnknown     hopResult = "unknown"      // the request may have run
	hopInvalid     hopResult = "invalid"      // not run: the request is invalid
)

// Reasons why a host does not take a forwarded request.
const (
	whyStopping  = "stopping"
	whyNoConfig  = "no_configuration"
	whyOldConfig = "older_configuration"
	whyLendLimit = "lend_limit"
	whyCutOff    = "cut_off" // this host reaches no upstream either
	whyNotAHop   = "no_hop"  // the request was not forwarded by a host
)

// hop is what a host states that forwards a request.
type hop struct {
	from    string
	version uint64
	sends   int
	runs    int // how often it may run here; 0: as often as its route allows
	charged bool
	began   string // version of the software that began the stream; "": it has not begun
}

// takeHop reads and removes the headers of a forwarded request. ok is false for a
// request that no host has forwarded.
func takeHop(h http.Header) (out *hop, ok bool) {
	version, err := strconv.ParseUint(h.Get(hopVersion), 10, 64)
	sends, _ := strconv.Atoi(h.Get(hopSends)) // absent: none
	runs, _ := strconv.Atoi(h.Get(hopRuns))   // absent: of a host of an earlier release
	out = &hop{from: h.Get(hopFrom), version: version, sends: max(sends, 0), runs: max(runs, 0), charged: h.Get(hopCharged) == hopYes, began: h.Get(hopBegan)}
	stripHop(h)
	return out, err == nil && out.from != ""
}

// stripHop removes all headers that hosts exchange.
func stripHop(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// setHop sets the headers of a request that this host forwards, in place of any that its
// caller sent.
func (q *request) setHop(h http.Header) {
	stripHop(h)
	h.Set(hopFrom, q.g.deps.HostName)
	h.Set(hopVersion, strconv.FormatUint(q.configVersion, 10))
	h.Set(hopSends, strconv.Itoa(q.sends))
	h.Set(hopRuns, strconv.Itoa(q.runsGranted))
	if q.caller.charged {
		h.Set(hopCharged, hopYes)
	}
	if began := q.began.get(); began != "" {
		h.Set(hopBegan, began)
	}
}

// maxRuns returns how often the request may run by what this host does.
func (q *request) maxRuns() int {
	most := max(q.route.Attempts, 1)
	if q.hop != nil && q.hop.runs > 0 {
		most = min(most, q.hop.runs)
	}
	return most
}

// maxSends returns how many attempts may be made, with those of the host that forwarded the
// request.
func (q *request) maxSends() int {
	if q.hop != nil && q.hop.runs > 0 {
		return min(q.route.Attempts, q.hop.sends+q.hop.runs)
	}
	return q.route.Attempts
}

// grantRuns returns how often another host may have the request run. If that host is lost, it
// counts as having run that often, so that one run is kept for a third host where more than
// one is left.
func (q *request) grantRuns() int { return max(q.maxRuns()-q.possibleRuns-1, 1) }

// markHop tells the host that forwarded the request what its answer is. A request that may
// have run is never reported as not run.
func (q *request) markHop(r hopResult) {
	if q.hop == nil {
		return
	}
	if r != hopAnswered && q.possibleRuns > 0 {
		r = hopUnknown
	}
	h := q.w.Header()
	h.Set(hopOutcome, string(r))
	h.Set(hopRequest, q.info.AttemptID)
	h.Set(hopSends, strconv.Itoa(max(q.sends-q.hop.sends, 0)))
	if began := q.began.get(); r == hopAnswered && began != "" {
		h.Set(hopBegan, began)
	}
}

// hopOwner tells whose answer the answer of a host is.
func (q *request) hopOwner(h http.Header) conn.Owner {
	switch id := h.Get(hopRequest); {
	case id == q.info.AttemptID:
		return conn.OwnedByRequest
	case id != "":
		return conn.OwnedByOther
	case h.Get(hopOutcome) != "": // of a host of an earlier release, which names no request
		return conn.OwnedByRequest
	}
	return conn.OwnerUnnamed
}

// refusalResult returns the result of a request that was refused for a reason. Once an
// upstream has refused it, other hosts would only ask again.
func (q *request) refusalResult(why string) hopResult {
	switch why {
	case whyStopping, whyNoConfig, whyOldConfig, whyLendLimit, whyCutOff, whyNotAHop, fleet.WhyUnconnected:
		return hopHostRefused
	case balance.NoUpstream.String():
		if q.hop != nil && q.sends == q.hop.sends {
			return hopHostRefused
		}
	}
	return hopNotRun
}

// entryHost is the log field for the host that forwarded the request.
func (q *request) entryHost() zap.Field {
	if q.hop == nil {
		return zap.Skip()
	}
	return zap.String(event.FieldEntryHost, q.hop.from)
}

// hopReserve is the part of a request's time that the forwarding host keeps, so that the
// other host's word on what became of the request arrives before the time is up.
const hopReserve = 20 * time.Millisecond

// minHopShare is the least share of the time left that is passed on, for requests with
// little more than hopReserve.
const minHopShare = 0.5

// hopTimeLeft returns the time that the other host has for a request.
func hopTimeLeft(left time.Duration) time.Duration {
	return max(left-hopReserve, time.Duration(float64(left)*minHopShare))
}
