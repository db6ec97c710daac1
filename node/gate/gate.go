// Package gate is the data path of routed requests: it matches a request to a
// route, picks an upstream, sends the request there and forwards the response. It
// retries only requests that may be retried, and reports as not run only requests
// that no upstream has run.
package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/poison"
	"peridotpier.example/core/quota"
	"peridotpier.example/node/bytebudget"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
	"peridotpier.example/node/quarantine"
	"peridotpier.example/node/upstream/conn"
)

// Coordinator gives the gate access to the acting coordinator.
type Coordinator interface {
	// LoadAdapter has an adapter loaded at an upstream and returns once it is resident.
	LoadAdapter(ctx context.Context, upstream, model, adapter string) error
	// RequestPermit asks where and when a request may be sent. After an error this
	// host decides by itself, and the team is not charged.
	RequestPermit(ctx context.Context, req *PermitRequest) (*Permit, error)
	// RecordDemand records a request for a model, with the number of tokens expected
	// in its response and the time within which the response has its full value;
	// rank is its urgency, 0 the most urgent; unserved reports that the model is resident at
	// no upstream.
	RecordDemand(service string, info *RequestInfo, output int, objective time.Duration, rank int, unserved bool)
}

// TeamLimits enforces the request limits of teams over all hosts.
type TeamLimits interface {
	// Charge charges a request that has no permit to its team's limit. It may wait for the
	// limit, until ctx ends at the latest.
	Charge(ctx context.Context, team *deploy.Team, q quota.Ask) LimitAnswer
	// Refund returns the charge of a request that has not run.
	Refund(team *deploy.Team, cost float64)
}

// LimitAnswer is whether a team's limit allows a request.
type LimitAnswer struct {
	OK         bool
	RetryAfter time.Duration // until the limit may allow it
	Promised   bool          // RetryAfter is kept free for it: others were told other times
	Level      float64       // what the team's account holds; 0 if it is not known
	Known      bool          // the coordinator has decided, so that Level is known
}

// CrashRecorder records the requests during which an upstream may have crashed.
type CrashRecorder interface {
	// RecordBroken records the suspects of a request, sent at a time, whose exchange with an
	// upstream broke off early.
	RecordBroken(upstream, address string, sentAt time.Time, suspects []poison.Fingerprint)
}

// PoisonGuard blocks requests that crash the upstreams that run them.
type PoisonGuard interface {
	// Barred reports whether a request is barred from being sent, and until when.
	Barred(r *poison.Request) (until time.Time, ok bool)
	// MayRepeat reports whether a request may be sent again although its upstream has just
	// crashed.
	MayRepeat(r *poison.Request) bool
	// RecordCompleted records that a request completed, or ran long enough after its response
	// began.
	RecordCompleted(r *poison.Request, c quarantine.Completion)
	// AnsweredBefore reports whether the same request was answered not long ago.
	AnsweredBefore(r *poison.Request) bool
}

// Origins keeps which version of the software began each stream. A search returns who knew it, too:
// the address of another host, "" for this one.
type Origins interface {
	// RecordOrigin records a stream that this host began at a service.
	RecordOrigin(service string, rec origin.Record)
	// FindOrigin finds the version that began the stream of an attempt.
	FindOrigin(ctx context.Context, attempt origin.Key) (f origin.Finding, source string)
	// FindOriginByContent finds the version of all streams of a service that may be the one
	// that a caller takes up which names no attempt.
	FindOriginByContent(ctx context.Context, service string, content origin.Key) (f origin.Finding, source string)
}

// Deps are the dependencies of a Gate.
type Deps struct {
	Config        *follow.ActiveConfig
	Fleet         *fleet.Fleet
	Client        *conn.Client
	Codec         Codec
	Coordinator   Coordinator
	TeamLimits    TeamLimits
	CrashRecorder CrashRecorder // nil: crashes are not recorded
	PoisonGuard   PoisonGuard   // nil: no request is barred
	Origins       Origins       // nil: no caller takes a stream up
	RetryBudget   *RetryBudget
	Detour        Detour // nil: requests never go through another host
	HostName      string // named to a host that a request is forwarded to
	LendLimit     int    // forwarded requests that are taken at once; 0: defaultLendLimit
	Log           *event.Log
	Metrics       *metrics.Set
	Draining      func() bool // the host is draining: callers should use another host
	RejectsNew    func() bool // new requests are refused, since they might not finish before the host stops
	// HoldLimitContext is done soon after Draining becomes true: from then on requests
	// are held only briefly, so that those already sent can finish within the grace
	// period. nil: never.
	HoldLimitContext context.Context
	// StopContext is done when the process is about to end: requests in flight then get
	// their final response at once. nil: never.
	StopContext context.Context
	// DisconnectReason returns how the connection of a request ended, given the
	// request's context; "": it is open, or the reason is not known. It is only logged.
	DisconnectReason func(context.Context) string
	// BodyRefused reports whether the body of a request is not read any more for want of
	// memory, given the request's context.
	BodyRefused func(context.Context) bool
	// RetainBody accounts for bytes of a body that are held after its request has ended, until
	// release is called. nil: nothing is accounted for.
	RetainBody func(bytes int64) (release func())
	// ResponseMemory is what responses may take together that wait for their callers to read
	// them. nil: it is not bounded.
	ResponseMemory *bytebudget.Budget
	Now            func() time.Time
	Rand           func() float64 // returns a value in [0, 1)
}

// Gate serves routed requests.
type Gate struct {
	deps       Deps
	holds      holds
	lender     lender
	hopHosts   hopHosts
	ages       attemptAges
	streamStay time.Duration // how long a stream stays with an unresponsive upstream; shorter in tests
}

// New creates a Gate; DisconnectReason, BodyRefused, RetainBody, Now and Rand may be nil.
func New(d Deps) *Gate {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Rand == nil {
		d.Rand = rand.Float64
	}
	if d.DisconnectReason == nil {
		d.DisconnectReason = func(context.Context) string { return "" }
	}
	if d.RetainBody == nil {
		d.RetainBody = func(int64) func() { return func() {} }
	}
	if d.BodyRefused == nil {
		d.BodyRefused = func(context.Context) bool { return false }
	}
	for _, c := range []*context.Context{&d.HoldLimitContext, &d.StopContext} {
		if *c == nil {
			*c = context.Background()
		}
	}
	if d.LendLimit == 0 {
		d.LendLimit = defaultLendLimit
	}
	g := &Gate{deps: d, lender: lender{limit: int64(d.LendLimit)}, streamStay: streamStay}
	if d.Detour != nil {
		g.holds.needed = d.Detour.Needed
		d.Detour.OnNeeded(g.holds.divert)
	}
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(g.newRequest(w, r, nil))
}

// newRequest returns the state of a request that a caller sent, or another host forwarded.
func (g *Gate) newRequest(w http.ResponseWriter, r *http.Request, h *hop) *request {
	q := &request{g: g, w: w, r: r, start: g.deps.Now(), tried: map[string]bool{}, info: g.deps.Codec.DecodeRequest(r.Header), hop: h}
	if h != nil {
		q.sends, q.writes = h.sends, h.sends
		q.chargedAt = q.start // by the host that forwards it
		q.began.set(h.began)
	}
	return q
}

// serve serves a request.
func (g *Gate) serve(q *request) {
	w, r := q.w, q.r
	g.deps.Metrics.Count(metrics.Requests, 1)
	if g.deps.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errTimeUp)
	defer cancel()
	defer q.refundCharge()
	defer q.releaseResponses()
	ctx, stop := context.WithCancelCause(ctx)
	if g.deps.StopContext.Err() != nil {
		stop(errStopping) // before anything is sent
	}
	defer context.AfterFunc(g.deps.StopContext, func() { stop(errStopping) })()
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(q.deadline.Add(writeGrace)) // a caller that does not read must not hold up the request
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	q.ctx = ctx
	q.run()
}

// writeGrace is how long after a request's deadline its final response may still be written.
const writeGrace = 300 * time.Millisecond

// errTimeUp is the cause of a request's context when its deadline has passed.
var errTimeUp = errors.New("time is up")

// errStopping is the cause of the contexts of requests in flight when the process is
// about to end.
var errStopping = errors.New("the host stops")

// request is the state of one caller's attempt. It is used by a single goroutine.
type request struct {
	g             *Gate
	w             http.ResponseWriter
	r             *http.Request
	ctx           context.Context
	info          RequestInfo
	route         *deploy.Route
	service       *deploy.Service
	configVersion uint64 // of the configuration that the request is handled under
	table         *deploy.Table
	caller        caller
	hop           *hop // of a request that another host forwarded; nil: a caller sent it
	hold          hold // the present wait before an attempt is sent
	body          []byte
	bodyRead      bool // the complete body was read
	start         time.Time
	age           time.Duration // since the caller's first attempt, when this one arrived; 0: it is that one, or not known
	deadline      time.Time
	needs         fleet.Request // model, adapter and prompt parts, for the choice of an upstream
	cost          fleet.Cost

	tried            map[string]bool // upstreams that had an attempt and are not to have another now
	sends            int             // number of attempts handed to an upstream
	writes           int             // number of attempts that were written to an upstream's connection, or may have been by another host
	lastCharge       charge          // last charge of a retry
	chargedAt        time.Time       // when it was asked whether the next attempt may be sent as a retry; zero: it was not, or may not
	lapsedUnsent     bool            // the newest attempt was not written, since its charge had lapsed
	newestSend       *unread         // follows the newest attempt that was written; nil: it is the request's first
	firstSend        *unread         // follows the request's first attempt, which was given up; nil: it was not, or counts as a repeat
	sentAt           time.Time       // when the newest attempt was sent
	exchangeErr      error           // of the newest attempt, if no response came
	possibleRuns     int             // number of attempts that may have run
	broke            bool            // an exchange broke while the upstream may have been running the request
	lostByUpstream   bool            // an upstream that may have run the request has lost it; set between attempts
	runsGranted      int             // how often the host that the request was last forwarded to may have it run
	triedHosts       []string        // hosts that the request was offered to
	unreachableTries int             // attempts at upstreams that were not listening
	content          *poison.Request // identifies the request's content, the same for all attempts of its caller; nil before the body is read
	end              responseEnd     // of the newest response
	responseSince    time.Time       // when the response to the newest attempt began; zero: it has not
	timeToFirst      time.Duration   // from the start to the first piece of a stream
	longestPause     time.Duration   // longest time between two pieces of the stream
	longestPauseAt   time.Duration   // from the start to the beginning of the longest pause
	lastPieceAt      time.Time       // when the last piece arrived
	started          bool            // the head of a response was sent to the caller
	endsWithConn     bool            // that response states no end: it ends with the caller's connection
	began            softwareVersion // version of the software that began the stream; "": it has not begun, or is not known
	unresumable      bool            // no other response can continue what the caller has: it is no stream of events, or its last event has no id
	lastEventID      string          // id of the last complete event that the caller has
	lastUpstream     string          // upstream of the newest attempt
	lastRefusal      refusal         // of the newest attempt
	statedSlowdown   float64         // that lastUpstream stated on its answer; 0: none
	adapterRequests  int
	resumeBackoff    time.Duration      // last delay before another attempt to resume a started response
	loggedReason     balance.Reason     // last reason for waiting that was logged
	retryScheduled   bool               // the coordinator named the caller's own time to return
	heldResponses    []*bytebudget.Body // responses in memory, until the request ends
	deliverFailed    func()             // delivers a failed response that a retry may replace; nil: there is none

	retryBlockedBy string // which bound prevents another attempt; "": none did
	forwardedBytes int64  // bytes of a response that were written to the caller's connection
	writeErr       error  // first error of a write to the caller
}

// admit routes the request and reads its body. It returns false if the request is not
// admitted; the caller then has its response.
func (q *request) admit() bool {
	d := &q.g.deps
	table := d.Config.Current()
	switch {
	case table == nil:
		q.refuse("no_configuration", configRetry)
		return false
	case d.RejectsNew():
		q.refuse("stopping", stopRetry)
		return false
	}
	q.configVersion, q.table = table.Config.Version, table
	q.route = table.Match(q.r.Host, sentPath(q.r.RequestURI))
	if q.route == nil {
		q.decline(http.StatusNotFound, "no_route")
		return false
	}
	if !q.identify() {
		q.decline(http.StatusUnauthorized, "unknown_key")
		return false
	}
	q.service, _ = table.Service(q.route.ChooseService(d.Rand()))
	if q.service == nil {
		q.refuse("no_service", configRetry)
		return false
	}
	if q.info.AttemptID == "" {
		q.decline(http.StatusBadRequest, "no_attempt_id")
		return false
	}
	q.setDeadline()
	if q.hop == nil && q.info.LastEventID == "" {
		q.age = q.g.ages.observe(callerKind{q.route.Name, q.caller.name()}, q.info.TimeLeft)
	}
	if !q.receiveBody(table.Config.Limits) {
		return false
	}
	if q.setContent(); q.refuseBarred(selection{}) {
		return false
	}
	if !q.findOrigin() {
		return false
	}
	if q.service.Engine != nil { // a plain service runs no models, even if the caller names one
		q.needs = fleet.Request{Model: q.info.Model, Adapter: q.info.Adapter, PromptParts: q.info.PromptParts}
	}
	q.cost = fleet.Cost{PromptTokens: q.info.PromptTokens, OutputTokens: q.expectedOutput()}
	if q.needs.Model != "" && q.hop == nil { // the entry host has recorded it
		d.Coordinator.RecordDemand(q.service.Name, &q.info, q.cost.OutputTokens, q.route.Objective, q.urgency(), false)
	}
	if q.hop == nil {
		d.RetryBudget.RecordRequest(q.service.Name, q.start)
	}
	return true
}

// setDeadline sets the time by which the request must have its response.
func (q *request) setDeadline() {
	timeLeft := q.route.Timeout
	if q.info.TimeLeft > 0 && (timeLeft == 0 || q.info.TimeLeft < timeLeft) {
		timeLeft = q.info.TimeLeft
	}
	if timeLeft == 0 {
		timeLeft = defaultTimeout
	}
	q.deadline = q.start.Add(timeLeft)
}

// defaultTimeout bounds requests for which neither the route nor the caller sets a limit.
const defaultTimeout = 30 * time.Second

// expectedOutput returns the number of output tokens to plan with.
func (q *request) expectedOutput() int {
	if q.info.OutputHint > 0 && (q.info.MaxOutputTokens == 0 || q.info.OutputHint < q.info.MaxOutputTokens) {
		return q.info.OutputHint
	}
	return q.info.MaxOutputTokens
}

func (q *request) id() zap.Field { return zap.String("request", q.info.AttemptID) }
