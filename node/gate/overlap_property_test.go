package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/core/health"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/upstream/conn"
)

const (
	// maxOverlap is for how long two runs of one stream may overlap.
	maxOverlap = 400 * time.Millisecond
	// longestSoundSilence is the longest time for which a sound upstream sends nothing.
	longestSoundSilence = 1400 * time.Millisecond
	// runEvents is how many events a run has, and runStep the time between two of them.
	runEvents, runStep = 30, 60 * time.Millisecond
	// promptTokensPerMs is the rate at which upstreams of a play read prompts.
	promptTokensPerMs = 20
	// silenceNoticed is after how long a silence of all upstreams a host takes itself for cut off.
	silenceNoticed = 500 * time.Millisecond
	// overlapTimeout is the time that each request of a play has.
	overlapTimeout = 20 * time.Second
)

// silencePlay is what happens at the upstreams of a play.
type silencePlay struct {
	kind      deploy.RequestKind
	upstreams []*silentUpstream
	silences  []drawnSilence
	changes   []drawnChange
	requests  []drawnRequest

	mu    sync.Mutex
	runs  map[string][]*playedRun // of each request, in the order in which they reached upstreams
	began time.Time
	fault string // the first one
}

// silentUpstream works on while it sends nothing.
type silentUpstream struct {
	play     *silencePlay
	address  string
	drops    bool // it ends a run when it notices that the connection is closed
	breaksAt int  // the event before which its first run breaks off; 0: none does
	silent   []span
	broken   bool // its first run has broken off
}

// span is a time since the start of a play.
type span struct{ from, until time.Duration }

// drawnSilence is a silence of some upstreams.
type drawnSilence struct {
	from, length time.Duration
	upstreams    []bool
}

// drawnChange is what a host is told, or finds, of an upstream that works on.
type drawnChange struct {
	at       time.Duration
	upstream int
	kind     string
}

// drawnRequest is one request of a play.
type drawnRequest struct {
	at     time.Duration
	prompt int // tokens
}

// playedRun is one run of a request.
type playedRun struct{ first, last time.Time } // its steps; zero: there was none

// entryChanges are what can become of an entry without an end of its process.
var entryChanges = map[string]func(*fleet.Fleet, *fleet.Entry){
	"leaving": func(f *fleet.Fleet, e *fleet.Entry) {
		u, _ := e.Description()
		u.State = deploy.Draining
		f.Apply([]deploy.Upstream{u}, nil, 2)
	},
	"removed":     func(f *fleet.Fleet, e *fleet.Entry) { f.Apply(nil, []string{e.ID()}, 2) },
	"backing off": func(_ *fleet.Fleet, e *fleet.Entry) { e.StartBackoff(time.Second) },
	"not reached": func(_ *fleet.Fleet, e *fleet.Entry) { e.Begin(&fleet.Request{}, fleet.Cost{}).NotListening() },
	"failing":     func(_ *fleet.Fleet, e *fleet.Entry) { breakTwice(e) },
}

// Guards against a request that runs at two upstreams at once: upstreams fall silent, alone and together, for less
// than a second and a half and work on, some of them also after their connections have been closed.
func TestRunsOfARequestDoNotOverlapWhateverUpstreamsSend(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawSilencePlay(rt)
		synctest.Test(t, func(*testing.T) { p.run() })
		if p.fault != "" {
			rt.Fatal(p.fault)
		}
	})
}

func drawSilencePlay(rt *rapid.T) *silencePlay {
	p := &silencePlay{runs: map[string][]*playedRun{}, kind: deploy.Stream}
	if rapid.IntRange(0, 4).Draw(rt, "once") == 0 {
		p.kind = deploy.NonIdempotent
	}
	for i := range rapid.IntRange(2, 4).Draw(rt, "upstreams") {
		u := &silentUpstream{play: p, address: fmt.Sprint("u", i), drops: rapid.Bool().Draw(rt, "drops")}
		if rapid.IntRange(0, 5).Draw(rt, "breaks") == 0 {
			u.breaksAt = rapid.IntRange(1, runEvents).Draw(rt, "break")
		}
		p.upstreams = append(p.upstreams, u)
	}
	p.silences = rapid.SliceOfN(rapid.Custom(p.drawSilence), 0, 5).Draw(rt, "silences")
	p.changes = rapid.SliceOfN(rapid.Custom(p.drawChange), 0, 2).Draw(rt, "changes")
	p.requests = rapid.SliceOfN(rapid.Custom(drawRequest), 1, 6).Draw(rt, "requests")
	return p
}

func (p *silencePlay) drawSilence(rt *rapid.T) drawnSilence {
	s := drawnSilence{from: drawTime(rt, "from", 0, 5*time.Second), length: drawTime(rt, "length", 300*time.Millisecond, longestSoundSilence)}
	all := rapid.Bool().Draw(rt, "all")
	for range p.upstreams {
		s.upstreams = append(s.upstreams, all || rapid.Bool().Draw(rt, "silent"))
	}
	return s
}

func (p *silencePlay) drawChange(rt *rapid.T) drawnChange {
	kinds := make([]string, 0, len(entryChanges))
	for kind := range entryChanges {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return drawnChange{at: drawTime(rt, "at", 0, 4*time.Second), upstream: rapid.IntRange(0, len(p.upstreams)-1).Draw(rt, "upstream"), kind: rapid.SampledFrom(kinds).Draw(rt, "kind")}
}

func drawRequest(rt *rapid.T) drawnRequest {
	return drawnRequest{at: drawTime(rt, "at", 0, 3*time.Second), prompt: rapid.IntRange(0, 12_000).Draw(rt, "prompt")}
}

// drawTime draws a time in steps of 10 ms.
func drawTime(rt *rapid.T, name string, least, most time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	return step * time.Duration(rapid.IntRange(int(least/step), int(most/step)).Draw(rt, name))
}

// run plays the requests and checks them.
func (p *silencePlay) run() {
	p.began = time.Now()
	p.placeSilences()
	g, f := p.start()
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { p.watch(ctx, f) })
	for _, c := range p.changes {
		time.AfterFunc(c.at, func() {
			if e, ok := f.Entry(p.upstreams[c.upstream].address); ok {
				entryChanges[c.kind](f, e)
			}
		})
	}
	var callers sync.WaitGroup
	for i, r := range p.requests {
		callers.Go(func() {
			time.Sleep(r.at)
			p.send(g, fmt.Sprint("r", i), r.prompt)
		})
	}
	callers.Wait()
	stop()
	g.deps.Client.Close()
	all.Wait()
	time.Sleep(overlapTimeout) // runs that nobody waits for end
	p.check()
}

// placeSilences gives each upstream its silences. One that would prolong another is left out.
func (p *silencePlay) placeSilences() {
	slices.SortFunc(p.silences, func(a, b drawnSilence) int { return int(a.from - b.from) })
	for _, s := range p.silences {
		for i, u := range p.upstreams {
			if s.upstreams[i] && (len(u.silent) == 0 || s.from >= u.silent[len(u.silent)-1].until+2*runStep) {
				u.silent = append(u.silent, span{s.from, s.from + s.length})
			}
		}
	}
}

// start returns a gate that may send to the upstreams.
func (p *silencePlay) start() (*Gate, *fleet.Fleet) {
	g, _ := newGateFor(deploy.Upstream{}, noCoordinator{}, deploy.Route{})
	g = withDetour(g, stubDetour{needed: p.allSilent, bySilence: true})
	f := fleet.New(fleet.Config{Health: health.DefaultPolicy}, fleet.Deps{Log: g.deps.Log})
	for _, u := range p.upstreams {
		f.Apply([]deploy.Upstream{{ID: u.address, Service: "s", Address: u.address, Slots: 8, Software: "v1"}}, nil, 0)
	}
	g.deps.Fleet, g.deps.Codec, g.deps.Client = f, silenceCodec{}, conn.New(conn.Config{Dialer: p})
	changeRoute(g, func(r *deploy.Route) {
		r.Kind, r.Resumable, r.Attempts = p.kind, p.kind == deploy.Stream, 3
		r.Timeout, r.Objective = overlapTimeout, overlapTimeout
	})
	return g, f
}

// watch looks after the upstreams as a host does.
func (p *silencePlay) watch(ctx context.Context, f *fleet.Fleet) {
	each := time.NewTicker(20 * time.Millisecond)
	defer each.Stop()
	for cutOff := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-each.C:
		}
		f.RunChecks()
		if silent := p.allSilent(); silent != cutOff {
			cutOff = silent
			f.DoubtOwnEvidence(silent)
			if silent {
				f.AbortSilent()
			} else {
				f.ForgetFailures()
			}
		}
	}
}

// allSilent reports whether nothing has come from any upstream for silenceNoticed.
func (p *silencePlay) allSilent() bool {
	now := time.Since(p.began)
	return !slices.ContainsFunc(p.upstreams, func(u *silentUpstream) bool {
		return !slices.ContainsFunc(u.silent, func(s span) bool { return now >= s.from+silenceNoticed && now < s.until })
	})
}

// silenceCodec takes the id of a request, the size of its prompt and the event after which a stream is resumed
// from headers.
type silenceCodec struct{ namedCodec }

func (silenceCodec) DecodeRequest(h http.Header) RequestInfo {
	prompt, _ := strconv.Atoi(h.Get("Prompt")) // always set
	return RequestInfo{AttemptID: h.Get("Request"), PromptTokens: prompt, MaxOutputTokens: runEvents}
}

func (silenceCodec) SetAttempt(h http.Header, info AttemptInfo) { h.Set("After", info.LastEventID) }

// send sends a request and checks what its caller gets.
func (p *silencePlay) send(g *Gate, id string, prompt int) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set("Request", id)
	r.Header.Set("Prompt", strconv.Itoa(prompt))
	whole := true
	func() {
		defer func() {
			if cause := recover(); cause != nil {
				whole = false // a truncated response
			}
		}()
		g.ServeHTTP(w, r)
	}()
	if w.Code != http.StatusOK {
		p.checkRefusal(id, w.Code)
		return
	}
	want := ""
	for n := 1; n <= runEvents; n++ {
		want += playedEvent(n)
	}
	if got := w.Body.String(); !strings.HasPrefix(want, got) || whole && got != want {
		p.fail("%s got %d bytes of %d, whole: %t", id, len(got), len(want), whole)
	}
}

// checkRefusal checks that a request that was told that it did not run has not run.
func (p *silencePlay) checkRefusal(id string, status int) {
	p.mu.Lock()
	runs := len(p.runs[id])
	p.mu.Unlock()
	if runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		p.fail("%s was told %d and ran", id, status)
	}
}

// fail records a fault; the first one counts.
func (p *silencePlay) fail(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "" {
		p.fault = fmt.Sprintf(format, args...)
	}
}

// check checks the runs of each request.
func (p *silencePlay) check() {
	for id, runs := range p.runs {
		if p.kind == deploy.NonIdempotent && len(runs) > 1 {
			p.fail("%s, which may run once, ran %d times", id, len(runs))
		}
		for i := 1; i < len(runs); i++ {
			former, next := runs[i-1], runs[i]
			if over := former.last.Sub(next.first); !former.first.IsZero() && !next.first.IsZero() && over > maxOverlap {
				p.fail("%s ran at two upstreams for %v", id, over)
			}
		}
	}
}

// DialContext implements conn.Dialer with connections in memory.
func (p *silencePlay) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	a, b := net.Pipe()
	i := slices.IndexFunc(p.upstreams, func(u *silentUpstream) bool { return u.address == address })
	go p.upstreams[i].serve(b)
	return pipeConn{a}, nil
}

// serve answers the requests of a connection, one after the other.
func (u *silentUpstream) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	closed := make(chan struct{})
	requests := make(chan *http.Request)
	go func() {
		defer close(closed)
		for br := bufio.NewReader(nc); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			requests <- r
		}
	}()
	for {
		select {
		case <-closed:
			return
		case r := <-requests:
			if !u.answer(nc, r, closed) {
				return
			}
		}
	}
}

// answer answers a request. It returns false if it breaks off.
func (u *silentUpstream) answer(nc net.Conn, r *http.Request, closed <-chan struct{}) bool {
	id := r.Header.Get("Request")
	if id == "" { // a look at the upstream's state
		u.awaitVoice()
		_, err := io.WriteString(nc, textAnswer(http.StatusNotFound, "", ""))
		return err == nil
	}
	out := make(chan string, runEvents+2)
	sent := make(chan error, 1)
	go func() { sent <- u.write(nc, out) }()
	prompt, _ := strconv.Atoi(r.Header.Get("Prompt")) // always set
	time.Sleep(time.Duration(prompt/promptTokensPerMs) * time.Millisecond)
	whole := u.work(id, r.Header.Get("After"), out, closed)
	close(out)
	return <-sent == nil && whole
}

// write writes what comes while the upstream is not silent.
func (u *silentUpstream) write(nc net.Conn, out <-chan string) error {
	for s := range out {
		u.awaitVoice()
		if _, err := io.WriteString(nc, s); err != nil {
			for range out { // the work goes on
			}
			return err
		}
	}
	return nil
}

// awaitVoice waits for the end of a silence.
func (u *silentUpstream) awaitVoice() {
	for _, s := range u.silent {
		if now := time.Since(u.play.began); now >= s.from && now < s.until {
			time.Sleep(s.until - now)
		}
	}
}

// work makes the events of a run. It returns false if the run breaks off.
func (u *silentUpstream) work(id, after string, out chan<- string, closed <-chan struct{}) bool {
	run := &playedRun{}
	u.play.mu.Lock()
	u.play.runs[id] = append(u.play.runs[id], run)
	breaksAt := 0
	if !u.broken {
		breaksAt, u.broken = u.breaksAt, u.breaksAt > 0
	}
	u.play.mu.Unlock()
	last, _ := strconv.Atoi(after) // absent: from the start
	out <- "HTTP/1.1 200 OK\r\nNames: " + id + "\r\nSealed: 1\r\nContent-Type: " + eventStreamType + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	for n := last + 1; n <= runEvents; n++ {
		if n == breaksAt || u.drops && isClosed(closed) {
			return false
		}
		u.play.mu.Lock()
		run.last = time.Now()
		if run.first.IsZero() {
			run.first = run.last
		}
		u.play.mu.Unlock()
		event := playedEvent(n)
		out <- fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		time.Sleep(runStep)
	}
	out <- "0\r\n\r\n"
	return true
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// playedEvent returns one event of a run.
func playedEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }
