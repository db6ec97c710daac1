// Package reach decides whether a host is partitioned from all upstreams, from the
// exchanges of its requests and from trial connections. It does no I/O and no locking.
//
// Exchanges alone never decide: they raise a suspicion, and trials at other upstreams
// confirm or refute it. A trial is a connection that is accepted or, where connections open
// and carry no byte, an exchange that costs its upstream no work. While nothing is suspected
// there are no trials.
package reach

import (
	"maps"
	"time"
)

// State is what is known of the host's way to the upstreams.
type State uint8

// The states.
const (
	Reachable   State = iota // some upstream answers, or nothing says otherwise
	Suspected                // trials have to tell
	Partitioned              // no upstream is reached
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"reachable", "suspected", "partitioned"}[s] }

// Kind is how an exchange failed.
type Kind uint8

// The kinds of failures.
const (
	Unconnected Kind = iota // no new connection served: it was refused, timed out, or ended without a byte
	Broken                  // the exchange was reset or ended early
	Unanswered              // the upstream was given up after it had sent nothing for long
)

// Failure is the latest failed exchange with an upstream.
type Failure struct {
	Upstream string
	At       time.Time
	Kind     Kind
}

// Silence is an upstream from which bytes are due.
type Silence struct {
	Upstream string
	Since    time.Time // when bytes became due
}

// Evidence is what the host's requests show.
type Evidence struct {
	Upstreams    int       // number of known upstreams that take requests
	LastReceived time.Time // when bytes last arrived from any upstream; zero: never
	Failures     []Failure
	Silences     []Silence
}

// Cause is what raised a suspicion.
type Cause string

// The causes.
const (
	NoCause   Cause = ""
	ByFailing Cause = "failures" // several upstreams failed or are silent, and no byte has arrived since
	ByDials   Cause = "dials"    // no new connections are opened, though open ones may work
)

// Policy sets when a host is suspected to be partitioned, and when it no longer is.
type Policy struct {
	MinFailing     int           // different upstreams that must fail while no byte arrives
	MinUnconnected int           // different upstreams to which no connection opens, while others send bytes
	Window         time.Duration // age up to which failures count
	DialWindow     time.Duration // age up to which connections that did not open count while others send bytes
	Silence        time.Duration // time for which bytes must be due at an upstream, and none arrive from any
	LoneSilence    time.Duration // the same for a host that knows one upstream only
	FirstRest      time.Duration // after a refuted suspicion; doubles with each further one in a row
	MaxRest        time.Duration
	Calm           time.Duration // time without a suspicion after which the rest is short again
	EndUpstreams   int           // different upstreams that trials must reach to end a partition
	EndWindow      time.Duration // time within which they must
	EndRepeats     int           // trials in a row that must reach one upstream if no other is reached
}

// DefaultPolicy notices a partition within a second under traffic, together with the
// trials: upstreams are a few milliseconds away.
var DefaultPolicy = Policy{
	// Two, since one upstream alone may have crashed or paused.
	MinFailing: 2,
	// As many: an idle host opens few connections, and asking six upstreams costs little.
	MinUnconnected: 2,
	// Above the time of a dial that is not answered.
	Window: 2 * time.Second,
	// Longer: while pooled connections serve, few new ones are needed.
	DialWindow: 5 * time.Second,
	// Longer than usual pauses of an engine; several upstreams at once rarely pause so long.
	Silence: 500 * time.Millisecond,
	// A sound upstream may be silent for a second.
	LoneSilence: 1500 * time.Millisecond,
	FirstRest:   300 * time.Millisecond,
	MaxRest:     2 * time.Second,
	Calm:        10 * time.Second,
	// Two, since one that accepts may be an exception of a partial partition.
	EndUpstreams: 2,
	EndWindow:    time.Second,
	// One upstream may be the only one that runs.
	EndRepeats: 3,
}

// Trial is the result of one trial. An upstream accepted it if the connection was open for
// a moment or, while AnswersNeeded, if bytes came back.
type Trial struct {
	Upstream string
	Accepted bool
}

// Detector decides. Its owner does the locking and the trials.
type Detector struct {
	policy      Policy
	state       State
	cause       Cause
	since       time.Time // when the partition began, as far as the evidence shows
	floor       time.Time // evidence up to this time does not count
	restUntil   time.Time
	refuted     int       // suspicions refuted in a row
	suspected   time.Time // when the last suspicion was raised
	silenceOnly bool      // the last suspicion rests on silence alone
	accepted    map[string]acceptance
	upstreams   int // as last seen
}

// acceptance is an upstream that accepts trials during a partition.
type acceptance struct {
	at     time.Time // of the last one
	inARow int
}

// NewDetector returns a Detector of a host that reaches its upstreams.
func NewDetector(p Policy) *Detector { return &Detector{policy: p} }

// State returns what is known.
func (d *Detector) State() State { return d.state }

// Cause returns what raised the last suspicion.
func (d *Detector) Cause() Cause { return d.cause }

// AnswersNeeded reports whether a trial connection that opens proves nothing: all that is
// wrong is that no byte arrives, as on a path that opens connections and then carries none.
func (d *Detector) AnswersNeeded() bool { return d.state != Reachable && d.silenceOnly }

// Since returns when the partition began: when the last bytes arrived, or the first
// evidence of it did. It is meant for a host that is suspected or partitioned.
func (d *Detector) Since() time.Time { return d.since }

// Disregard drops all evidence up to now: this process was paused and cannot tell
// upstreams' silence from its own.
func (d *Detector) Disregard(now time.Time) { d.floor = now }

// Quiet reports whether the evidence cannot raise a suspicion at now, whichever upstreams
// are silent. It spares collecting the silent ones.
func (d *Detector) Quiet(lastReceived time.Time, failures int, now time.Time) bool {
	return d.state == Reachable && failures == 0 && now.Sub(lastReceived) < d.policy.Silence
}

// Observe applies evidence and returns the state, which changes from Reachable to
// Suspected only.
func (d *Detector) Observe(e *Evidence, now time.Time) State {
	d.upstreams = e.Upstreams
	if d.state != Reachable || e.Upstreams == 0 || now.Before(d.restUntil) {
		return d.state
	}
	cause := d.suspicion(e, now)
	if cause == NoCause {
		return d.state
	}
	if now.Sub(d.suspected) > d.policy.Calm {
		d.refuted = 0
	}
	d.state, d.cause, d.suspected = Suspected, cause, now
	d.silenceOnly = cause == ByFailing && d.restsOnSilence(e, now)
	d.since = d.beginning(e, now)
	return d.state
}

// suspicion returns why the evidence suggests a partition.
func (d *Detector) suspicion(e *Evidence, now time.Time) Cause {
	failing, unconnected := map[string]bool{}, map[string]bool{}
	for _, f := range e.Failures {
		if !d.counts(&f, now) {
			continue
		}
		if f.Kind == Unconnected {
			unconnected[f.Upstream] = true
		}
		if f.At.After(e.LastReceived) && now.Sub(f.At) <= d.policy.Window {
			failing[f.Upstream] = true
		}
	}
	if len(failing) > 0 || now.Sub(e.LastReceived) >= d.silence(e) {
		d.addSilent(failing, e, now)
	}
	switch {
	case len(failing) >= min(d.policy.MinFailing, e.Upstreams):
		return ByFailing
	case len(unconnected) >= min(d.policy.MinUnconnected, e.Upstreams):
		return ByDials
	}
	return NoCause
}

// counts reports whether a failure is recent enough, and not refuted.
func (d *Detector) counts(f *Failure, now time.Time) bool {
	window := d.policy.Window
	if f.Kind == Unconnected {
		window = d.policy.DialWindow
	}
	return f.At.After(d.floor) && now.Sub(f.At) <= window
}

// silence returns for how long bytes must be due.
func (d *Detector) silence(e *Evidence) time.Duration {
	if e.Upstreams == 1 {
		return d.policy.LoneSilence
	}
	return d.policy.Silence
}

// addSilent adds the upstreams that are silent, if no other sends bytes either.
func (d *Detector) addSilent(failing map[string]bool, e *Evidence, now time.Time) {
	if now.Sub(e.LastReceived) < d.silence(e) {
		return
	}
	for _, s := range e.Silences {
		if now.Sub(later(s.Since, d.floor)) >= d.silence(e) {
			failing[s.Upstream] = true
		}
	}
}

// restsOnSilence reports whether nothing has arrived for long, and enough upstreams are silent, or
// were given up for their silence, to suspect a partition.
func (d *Detector) restsOnSilence(e *Evidence, now time.Time) bool {
	mute := map[string]bool{}
	d.addSilent(mute, e, now)
	for _, f := range e.Failures {
		if f.Kind == Unanswered && d.counts(&f, now) {
			mute[f.Upstream] = true
		}
	}
	return now.Sub(e.LastReceived) >= d.silence(e) && len(mute) >= min(d.policy.MinFailing, e.Upstreams)
}

// beginning returns when the partition began, as far as the evidence shows.
func (d *Detector) beginning(e *Evidence, now time.Time) time.Time {
	first := now
	for _, f := range e.Failures {
		if d.counts(&f, now) && f.At.Before(first) {
			first = f.At
		}
	}
	for _, s := range e.Silences {
		if at := later(s.Since, d.floor); at.Before(first) {
			first = at
		}
	}
	return first
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Received applies that bytes last arrived from an upstream at a time, and returns the state.
// They refute a suspicion, and end a partition, that rests on silence alone. Others they do
// not concern: open connections may work while no new one opens.
func (d *Detector) Received(last, now time.Time) State {
	if !d.AnswersNeeded() || !last.After(d.suspected) {
		return d.state
	}
	if d.state == Suspected {
		d.refute(now)
	} else {
		d.endPartition(now)
	}
	return d.state
}

// Judge applies the trials of one round and returns the state.
func (d *Detector) Judge(round []Trial, now time.Time) State {
	switch d.state {
	case Suspected:
		d.judgeSuspicion(round, now)
	case Partitioned:
		d.judgePartition(round, now)
	}
	return d.state
}

func (d *Detector) judgeSuspicion(round []Trial, now time.Time) {
	for _, t := range round {
		if t.Accepted {
			d.refute(now)
			return
		}
	}
	if len(round) == 0 {
		d.refute(now) // the upstreams were removed meanwhile
		return
	}
	d.state, d.accepted = Partitioned, map[string]acceptance{}
}

// refute ends a suspicion. Evidence so far no longer counts.
func (d *Detector) refute(now time.Time) {
	rest := min(d.policy.FirstRest<<min(d.refuted, 8), d.policy.MaxRest)
	d.state, d.floor, d.restUntil = Reachable, now, now.Add(rest)
	d.refuted++
}

func (d *Detector) judgePartition(round []Trial, now time.Time) {
	for _, t := range round {
		if !t.Accepted {
			delete(d.accepted, t.Upstream)
			continue
		}
		a := d.accepted[t.Upstream]
		a.at = now
		a.inARow++
		d.accepted[t.Upstream] = a
	}
	maps.DeleteFunc(d.accepted, func(_ string, a acceptance) bool { return now.Sub(a.at) > d.policy.EndWindow })
	if d.partitionOver() {
		d.endPartition(now)
	}
}

func (d *Detector) endPartition(now time.Time) {
	d.state, d.cause, d.floor, d.restUntil = Reachable, NoCause, now, now.Add(d.policy.FirstRest)
}

// partitionOver reports whether enough trials were accepted: by different upstreams,
// or, where only one runs, by that one again and again.
func (d *Detector) partitionOver() bool {
	if len(d.accepted) >= d.policy.EndUpstreams {
		return true
	}
	for _, a := range d.accepted {
		if d.upstreams == 1 || a.inARow >= d.policy.EndRepeats {
			return true
		}
	}
	return false
}

// Accepting returns the upstreams that accepted trials in this partition; the
// next round should include them.
func (d *Detector) Accepting() map[string]bool {
	out := make(map[string]bool, len(d.accepted))
	for id := range d.accepted {
		out[id] = true
	}
	return out
}
