// Package gate is the data path of routed requests: it matches a request to a
// route, picks an upstream, sends it there and relays the answer. It repeats
// only what may be repeated, and says "not run" only of what did not run.
package gate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/follow"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/upstream/conn"
)

// Coordinator is how the gate reaches the host that gives orders.
type Coordinator interface {
	// Adapter asks for an adapter at an upstream and returns when it is there.
	LoadAdapter(ctx context.Context, upstream, model, adapter string) error
	// Turn asks where and when to send a request. An error says that this host
	// decides by itself.
	RequestPermit(ctx context.Context, q *PermitRequest) (*Permit, error)
	// Demand notes a request for a model, with the tokens to expect of its
	// answer and the time within which that is worth all; unserved says that
	// no upstream holds the model.
	RecordDemand(service string, f *RequestInfo, output int, objective time.Duration, unserved bool)
}

// TeamLimits is how the gate holds teams to what they may ask for over all hosts.
type TeamLimits interface {
	// Take asks for leave for a request that has no turn; when refused it tells
	// when the limit may allow it.
	Charge(ctx context.Context, team *deploy.Team, cost float64) (wait time.Duration, ok bool)
	// GiveBack returns what was charged for a request that has not run.
	Refund(team *deploy.Team, cost float64)
}

// CrashRecorder is told of requests whose upstream may have ended under them.
type CrashRecorder interface {
	// Broken notes a request whose exchange with an upstream broke before its end.
	RecordBroken(upstream, address string, request poison.Fingerprint)
}

// PoisonGuard keeps requests from upstreams that end upstreams.
type PoisonGuard interface {
	// Barred says until when a request must not be sent.
	Barred(r *poison.Request) (until time.Time, ok bool)
	// Completed notes that a request ran to its end, or for long after it had begun.
	RecordCompleted(r *poison.Request)
}

// Deps are what a Gate works with.
type Deps struct {
	Config        *follow.ActiveConfig
	Fleet         *fleet.Fleet
	Client        *conn.Client
	Codec         Codec
	Coordinator   Coordinator
	TeamLimits    TeamLimits
	CrashRecorder CrashRecorder // nil: nobody asks
	PoisonGuard   PoisonGuard   // nil: nothing is barred
	RetryBudget   *RetryBudget
	Log           *event.Log
	Metrics       *metrics.Set
	Draining      func() bool // the host is about to stop: callers should go elsewhere
	RejectsNew    func() bool // nothing new is taken: it might not end in time
	// Leaving is done soon after Draining begins: nobody is held for long any
	// more, so that what is sent can end with the grace. nil: never.
	HoldsLimited context.Context
	// Ending is done when the host is about to end: what is under way then gets
	// its final answer at once. nil: never.
	Stopping context.Context
	// Gone says how the connection of a request ended, from the request's
	// context; "": it has not, or that is not known. It is for the log only.
	DisconnectReason func(context.Context) string
	Now              func() time.Time
	Rand             func() float64 // in [0, 1)
}

// Gate serves routed requests.
type Gate struct{ deps Deps }

// New makes a Gate; Gone, Now and Draw may be nil.
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
	for _, c := range []*context.Context{&d.HoldsLimited, &d.Stopping} {
		if *c == nil {
			*c = context.Background()
		}
	}
	return &Gate{deps: d}
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.deps.Metrics.Count(metrics.Requests, 1)
	q := &request{g: g, w: w, r: r, start: g.deps.Now(), tried: map[string]bool{}, facts: g.deps.Codec.DecodeRequest(r.Header)}
	if g.deps.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errTimeUp)
	defer cancel()
	defer q.giveBack()
	ctx, giveUp := context.WithCancelCause(ctx)
	if g.deps.Stopping.Err() != nil {
		giveUp(errStopping) // at once, so that nothing is sent any more
	}
	defer context.AfterFunc(g.deps.Stopping, func() { giveUp(errStopping) })()
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(q.deadline.Add(writeGrace)) // a caller that does not read must not hold the request
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	q.ctx = ctx
	q.run()
}

// writeGrace is how long after a request's time its final answer may still be written.
const writeGrace = 300 * time.Millisecond

// errTimeUp ends requests whose time, or whose route's, is over.
var errTimeUp = errors.New("time is up")

// errStopping ends requests that are under way when the host is about to end.
var errStopping = errors.New("the host stops")

// request is one caller's attempt. It belongs to one goroutine.
type request struct {
	g        *Gate
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	facts    RequestInfo
	route    *deploy.Route
	service  *deploy.Service
	version  uint64 // of the configuration that it is handled under
	table    *deploy.Table
	caller   caller
	body     []byte
	taken    bool // the body was read whole
	start    time.Time
	deadline time.Time
	ask      fleet.Request
	cost     fleet.Cost

	tried       map[string]bool // upstreams that had an attempt
	sends       int             // attempts handed to an upstream
	sentAt      time.Time       // when the newest one was
	maybe       int             // those of them that may have run
	lost        bool            // an upstream that may have run it has lost it; set between attempts
	absent      int             // tries at upstreams that were not there
	content     *poison.Request // what is asked, whichever attempt of its caller this is; nil before the body is read
	ranSince    time.Time       // when the newest attempt's answer began; zero: it has not
	first       time.Duration   // from the start to the first piece of a stream
	pause       time.Duration   // longest between two pieces of it
	pauseAt     time.Duration   // from the start to that pause
	heard       time.Time       // when the last piece came
	started     bool            // the head of an answer went to the caller
	begun       bool            // of one that is no stream: nothing else can go on with it
	after       string          // last whole event that the caller has
	last        string          // upstream of the newest attempt
	adapterAsks int
	resumePause time.Duration  // the last one before another try to go on with a begun answer
	waitsFor    balance.Reason // that was logged last
	kept        func()         // delivers a failed answer that a repeat may better; nil: none

	barred   string // what forbids one more send; "": nothing did
	relayed  int64  // bytes of an answer that were handed to the caller's connection
	writeErr error  // of the first write to the caller that failed
}

// admit reads the request whole; it answers by itself what cannot be routed.
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
	q.version, q.table = table.Config.Version, table
	q.route = table.Match(q.r.Host, q.r.URL.Path)
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
	if q.facts.AttemptID == "" {
		q.decline(http.StatusBadRequest, "no_attempt_id")
		return false
	}
	q.bound()
	if !q.read(table.Config.Limits) {
		return false
	}
	if q.describe(); q.refuseBarred(picked{}) {
		return false
	}
	if q.service.Engine != nil { // a plain service runs no models, whatever its caller names
		q.ask = fleet.Request{Model: q.facts.Model, Adapter: q.facts.Adapter, PromptParts: q.facts.PromptParts}
	}
	q.cost = fleet.Cost{PromptTokens: q.facts.PromptTokens, OutputTokens: q.output()}
	if q.ask.Model != "" {
		d.Coordinator.RecordDemand(q.service.Name, &q.facts, q.cost.OutputTokens, q.route.Objective, false)
	}
	d.RetryBudget.RecordRequest(q.service.Name, q.start)
	return true
}

// bound sets the time by which the request must have its answer.
func (q *request) bound() {
	left := q.route.Timeout
	if q.facts.TimeLeft > 0 && (left == 0 || q.facts.TimeLeft < left) {
		left = q.facts.TimeLeft
	}
	if left == 0 {
		left = defaultTimeout
	}
	q.deadline = q.start.Add(left)
}

// defaultTimeout bounds a request when neither its route nor its caller does.
const defaultTimeout = 30 * time.Second

// output is the length of answer to plan with.
func (q *request) output() int {
	if q.facts.OutputHint > 0 && (q.facts.MaxOutputTokens == 0 || q.facts.OutputHint < q.facts.MaxOutputTokens) {
		return q.facts.OutputHint
	}
	return q.facts.MaxOutputTokens
}

// read takes the body in. Only whole requests are sent on: one that breaks off
// in the middle then never reaches an upstream, and any that was not run can
// be sent to another.
func (q *request) read(limits deploy.Limits) bool {
	most := int64(limits.BodyBytes)
	if most <= 0 {
		most = defaultBody
	}
	if q.r.ContentLength > most {
		q.decline(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if q.r.ContentLength == 0 {
		return true
	}
	body, err := q.readBody(most + 1)
	switch {
	case q.g.deps.Stopping.Err() != nil:
		q.w.Header().Set("Connection", "close")
		q.refuse("stopping", stopRetry)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.decline(http.StatusRequestTimeout, "body_late")
	case err != nil:
		q.decline(http.StatusBadRequest, "body_incomplete", zap.Error(err), zap.Int("read_bytes", len(body)),
			zap.Int64("length", q.r.ContentLength), zap.Int64("held_ms", q.g.deps.Now().Sub(q.start).Milliseconds()))
	case int64(len(body)) > most:
		q.decline(http.StatusRequestEntityTooLarge, "body_too_large")
	default:
		q.body, q.taken = body, true
		return true
	}
	return false
}

// readBody reads until the body's end, the request's time or the end of the grace.
func (q *request) readBody(most int64) ([]byte, error) {
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(q.deadline)
	ended := make(chan struct{})
	stop := context.AfterFunc(q.g.deps.Stopping, func() {
		defer close(ended)
		_ = rc.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := io.ReadAll(io.LimitReader(q.r.Body, most))
	if !stop() {
		<-ended
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, err
}

// restBound is how long what is left of a body that was given up may come in. It
// is read so that a reset does not overtake the answer.
const restBound = 500 * time.Millisecond

// defaultBody bounds a body, in bytes, when the configuration does not.
const defaultBody = 4 << 20

// run makes attempts until the request has its final answer.
func (q *request) run() {
	for {
		e, d := q.choose()
		if e == nil {
			if q.wait(d) {
				continue
			}
			return
		}
		if q.revoked() {
			q.endRevoked(d)
			return
		}
		if q.refuseBarred(d) {
			return
		}
		res := q.attempt(e, d)
		if res.done || !q.again(res) {
			return
		}
	}
}

// again decides what follows an attempt that brought no final answer. It
// answers the caller when nothing does.
func (q *request) again(res result) bool {
	switch {
	case q.r.Context().Err() != nil:
		q.left()
		return false
	case q.ctx.Err() != nil && q.kept == nil:
		q.timeUp()
		return false
	case !res.notRun && !q.mayRunAgain():
		q.fail(http.StatusBadGateway, res.why)
		return false
	}
	if q.ctx.Err() == nil && q.maybe < max(q.route.Attempts, 1) && (q.mayGoOn(res) || q.resumeLater(res)) {
		q.g.deps.Log.Emit(event.RequestRetried, q.id(), zap.String("why", res.why), zap.String(event.FieldPeer, q.last),
			zap.Int("sends", q.sends), zap.Bool("not_run", res.notRun), q.paused())
		q.g.deps.Metrics.Count(metrics.Retries, 1)
		q.lost = q.lost || !res.notRun
		return true
	}
	if q.r.Context().Err() != nil { // in a pause
		q.left()
		return false
	}
	if q.kept != nil {
		q.kept()
		return false
	}
	q.unserved(http.StatusBadGateway, res.why, max(res.retryAfter, fullRetry))
	return false
}

// mayGoOn says whether one more send is within bounds. A try at an upstream that
// is not there reached nobody, so that it takes none of what repeats are allowed.
func (q *request) mayGoOn(res result) bool {
	if res.absent {
		q.absent++
		return q.absent <= absentMost || q.bar("absent")
	}
	if res.allowed {
		return true
	}
	if q.sends >= q.route.Attempts && !(res.notRun && q.sends < q.route.Attempts+refusedSends) {
		return q.bar("attempts")
	}
	return q.g.deps.RetryBudget.Take(q.service.Name, q.g.deps.Now()) || q.bar("repeats")
}

// bar notes the bound that forbids one more send; it returns false.
func (q *request) bar(bound string) bool {
	q.barred = bound
	return false
}

// absentMost is how many upstreams that are not there a request may be sent to:
// a fifth of a service's may end at once, and each try takes a few milliseconds.
const absentMost = 6

// refusedSends is how many sends beyond its route's attempts a request may
// make after upstreams said that they did not run it.
const refusedSends = 2

// mayRunAgain says whether the request may run once more although it may have
// run already. Of an answer that has begun only a stream's can be gone on with.
func (q *request) mayRunAgain() bool {
	if q.begun {
		return false
	}
	if q.route.Repeatable() {
		return true
	}
	return q.route.Kind == deploy.Stream && q.route.Resumable
}

func (q *request) id() zap.Field { return zap.String("request", q.facts.AttemptID) }
