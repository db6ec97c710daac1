package gate

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/node/fleet"
)

// soundSilence is for how long a sound upstream of these tests sends nothing: a second, and
// a quarter in which the next event is due.
const soundSilence = 1250 * time.Millisecond

// eventsArrive is how long an event may be on its way.
const eventsArrive = 100 * time.Millisecond

// callersPatience is the shortest time without an event after which callers leave a stream.
const callersPatience = 2 * time.Second

// streamSite is a host with the usual times and two upstreams. The first attempt of a stream
// gets what first writes; later ones get the events 2 and 3.
type streamSite struct {
	host  *httptest.Server
	fleet *fleet.Fleet
	runs  atomic.Int32
}

// startStreamSite starts a site. first gets the address of the upstream that runs it.
func startStreamSite(t *testing.T, d Detour, first func(address string, w http.ResponseWriter, r *http.Request)) *streamSite {
	t.Helper()
	return startStreamSiteWith(t, withDetour(newStreamGate(), d), first)
}

// newStreamGate returns the gate of a stream site, without a detour.
func newStreamGate() *Gate {
	g, _ := newGate(&noModelCoordinator{}, "")
	g.deps.HostName, g.deps.Codec = "entry", hopCodec{}
	return g
}

// startStreamSiteWith is startStreamSite with a gate.
func startStreamSiteWith(t *testing.T, g *Gate, first func(address string, w http.ResponseWriter, r *http.Request)) *streamSite {
	t.Helper()
	s := &streamSite{}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if s.runs.Add(1) == 1 {
			first(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String(), w, r)
			return
		}
		writeEvent(w, 2)
		writeEvent(w, 3)
	}
	s.host, s.fleet = startDetectionHost(t, g, health.DefaultPolicy, deploy.Stream, serve, serve)
	return s
}

// pauseAfter writes a stream of which the events 2 and 3 come a second after change, which is
// called once the first has arrived.
func pauseAfter(w http.ResponseWriter, change func()) {
	writeEvent(w, 1)
	time.Sleep(eventsArrive)
	change()
	time.Sleep(soundSilence)
	writeEvent(w, 2)
	writeEvent(w, 3)
}

// entryAt returns the entry of the upstream at an address.
func (s *streamSite) entryAt(address string) *fleet.Entry {
	for _, e := range s.fleet.All() {
		if e.Address() == address {
			return e
		}
	}
	return nil
}

// noDetour is a Detour that is never needed.
var noDetour = stubDetour{needed: func() bool { return false }}

// whole asks for a stream and checks that it arrives whole, in more than one time and less
// than another.
func (s *streamSite) whole(t *testing.T, least, most time.Duration) {
	t.Helper()
	began := time.Now()
	status, body, err := sendOne(t, s.host)
	took := time.Since(began)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, wholeStream)
	assert.Assert(t, took > least && took < most, "%v", took)
}

// wholeStream is the body of a stream of the events 1 to 3.
const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"

// Guards against a stream that runs at two upstreams at once: the first is sound, sends nothing for a second and works on.
func TestAStreamStaysWithAnUpstreamThatIsSilentForASecond(t *testing.T) {
	for name, before := range map[string]int{"before its first event": 0, "between events": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStreamSite(t, noDetour, func(_ string, w http.ResponseWriter, _ *http.Request) {
				for n := 1; n <= 3; n++ {
					if n == before+1 {
						time.Sleep(soundSilence)
					}
					writeEvent(w, n)
				}
			})
			s.whole(t, soundSilence, callersPatience)
			assert.Equal(t, s.runs.Load(), int32(1))
		})
	}
}

// Guards against a stream whose upstream is lost without a word and whose caller leaves before it goes on.
func TestAStreamLeavesALostUpstreamBeforeItsCallerLeaves(t *testing.T) {
	t.Parallel()
	s := startStreamSite(t, noDetour, func(_ string, w http.ResponseWriter, r *http.Request) {
		writeEvent(w, 1)
		<-r.Context().Done()
	})
	s.whole(t, soundSilence, callersPatience)
	assert.Equal(t, s.runs.Load(), int32(2))
}

// Guards against a stream that waits for an upstream of which it is known that its process is gone.
func TestAStreamLeavesAProcessThatIsGoneAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		lose   func(*streamSite, *fleet.Entry)
		within time.Duration
	}{
		"started again": {func(s *streamSite, e *fleet.Entry) {
			u, _ := e.Description()
			u.Born = 1
			s.fleet.Apply([]deploy.Upstream{u}, nil, 0)
		}, streamStay},
		"replaced": {func(_ *streamSite, e *fleet.Entry) { e.MarkReplaced() }, health.DefaultPolicy.UnresponsiveAfter + streamStay},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *streamSite
			s = startStreamSite(t, noDetour, func(address string, w http.ResponseWriter, r *http.Request) {
				writeEvent(w, 1)
				time.Sleep(eventsArrive)
				c.lose(s, s.entryAt(address))
				<-r.Context().Done()
			})
			s.whole(t, 0, c.within)
		})
	}
}

// Guards against a stream that waits for upstreams which its host is known not to reach.
func TestAStreamLeavesUpstreamsOutOfReachAtOnce(t *testing.T) {
	t.Parallel()
	helper := newHopGate(startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 2)
		writeEvent(w, 3)
	}), deploy.Stream, 3)
	changeRoute(helper, func(r *deploy.Route) { r.Resumable = true })
	var cut atomic.Bool
	var s *streamSite
	s = startStreamSite(t, stubDetour{needed: cut.Load, hosts: []string{lendAt(t, http.HandlerFunc(helper.ServeForwarded))}},
		func(_ string, w http.ResponseWriter, r *http.Request) {
			writeEvent(w, 1)
			time.Sleep(eventsArrive)
			cut.Store(true)
			s.fleet.AbortSilent()
			<-r.Context().Done()
		})
	s.whole(t, 0, streamStay)
}

// Guards against a stream that runs at two upstreams at once: its host hears nothing from any
// upstream, takes itself for cut off, and the upstreams, which are silent for a second, work on.
func TestAStreamStaysWhileAllUpstreamsAreSilent(t *testing.T) {
	t.Parallel()
	var silent atomic.Bool
	var s *streamSite
	s = startStreamSite(t, stubDetour{needed: silent.Load, hosts: []string{"127.0.0.1:1"}, bySilence: true}, func(_ string, w http.ResponseWriter, _ *http.Request) {
		pauseAfter(w, func() {
			silent.Store(true)
			s.fleet.AbortSilent()
		})
	})
	s.whole(t, soundSilence, callersPatience)
	assert.Equal(t, s.runs.Load(), int32(1))
}

// Guards against a stream that runs at two upstreams at once: the first gets no new requests any more, and works on.
func TestAStreamStaysWithAnUpstreamThatGetsNoNewRequests(t *testing.T) {
	describe := func(s *streamSite, e *fleet.Entry, change func(*deploy.Upstream)) {
		u, _ := e.Description()
		change(&u)
		s.fleet.Apply([]deploy.Upstream{u}, nil, 2)
	}
	for name, lose := range map[string]func(*streamSite, *fleet.Entry){
		"leaving": func(s *streamSite, e *fleet.Entry) {
			describe(s, e, func(u *deploy.Upstream) { u.State = deploy.Draining })
		},
		"removed":      func(s *streamSite, e *fleet.Entry) { s.fleet.Apply(nil, []string{e.ID()}, 2) },
		"changed":      func(s *streamSite, e *fleet.Entry) { describe(s, e, func(u *deploy.Upstream) { u.Slots = 1 }) },
		"backing off":  func(_ *streamSite, e *fleet.Entry) { e.StartBackoff(callersPatience) },
		"not reached":  func(_ *streamSite, e *fleet.Entry) { e.Begin(&fleet.Request{}, fleet.Cost{}).NotListening() },
		"failing":      func(_ *streamSite, e *fleet.Entry) { breakTwice(e) },
		"not resident": func(_ *streamSite, e *fleet.Entry) { e.MarkNotResident("", "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *streamSite
			s = startStreamSite(t, noDetour, func(address string, w http.ResponseWriter, _ *http.Request) {
				pauseAfter(w, func() { lose(s, s.entryAt(address)) })
			})
			s.whole(t, soundSilence, callersPatience)
			assert.Equal(t, s.runs.Load(), int32(1))
		})
	}
}

// breakTwice lets two exchanges with an upstream break, which exclude it.
func breakTwice(e *fleet.Entry) {
	for range 2 {
		e.Begin(&fleet.Request{}, fleet.Cost{}).Interrupted("broken")
	}
}

// Guards against a stream that runs at two upstreams at once: its host was paused, and takes its own pause for the upstream's silence.
func TestAStreamStaysAfterAPauseOfItsHost(t *testing.T) {
	t.Parallel()
	var paused atomic.Int64 // ns
	g := newStreamGate()
	g.deps.Now = func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }
	s := startStreamSiteWith(t, withDetour(g, noDetour), func(_ string, w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		time.Sleep(health.DefaultPolicy.UnresponsiveAfter + 4*failoverPollInterval)
		paused.Store(int64(streamStay))
		time.Sleep(failoverPollInterval * 3 / 2) // what has arrived is read
		writeEvent(w, 2)
		writeEvent(w, 3)
	})
	s.whole(t, 0, callersPatience)
	assert.Equal(t, s.runs.Load(), int32(1))
}

// Guards against requests that are refused in the second in which all upstreams are silent: no
// other host takes them, and the upstreams go on a moment later.
func TestARequestWaitsAMomentForSilentUpstreams(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
	for _, bySilence := range []bool{true, false} {
		var silent atomic.Bool
		silent.Store(true)
		g := withDetour(newHopGate(up, deploy.NonIdempotent, 1), stubDetour{needed: silent.Load, bySilence: bySilence})
		changeRoute(g, func(r *deploy.Route) { r.Objective = 8 * time.Second })
		time.AfterFunc(4*silenceRecheck, func() { silent.Store(false) })
		status, _ := sendTo(t, g)
		assert.Equal(t, status, map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[bySilence])
	}
}

// Guards against a repeatable call that stays with a silent upstream as long as a stream would: its runs may overlap.
func TestACallThatMayRepeatLeavesASilentUpstreamAtOnce(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			<-r.Context().Done()
		}
	}
	g, _ := newGate(&noModelCoordinator{}, "")
	host, _ := startDetectionHost(t, g, health.DefaultPolicy, deploy.Idempotent, serve, serve)
	began := time.Now()
	status, _, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, runs.Load(), int32(2))
	assert.Assert(t, time.Since(began) < soundSilence, "%v", time.Since(began))
}
