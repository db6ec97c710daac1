package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/upstream/conn"
)

const (
	// playTimeout is the time that each request of a play has, playSlack what its end may take.
	playTimeout, playSlack = 2 * time.Second, 10 * time.Millisecond
	// permitTime is how long the coordinator takes to answer.
	permitTime = 10 * time.Millisecond
	// playEnd is how long the upstream's side may take to end after the last request.
	playEnd = 20 * time.Second
)

// arrival is what an upstream does with one request that reaches it.
type arrival struct {
	refuses        bool
	status         int // of the refusal
	before, behind []lateCopy
	cut            int // bytes of the own answer; negative: all
}

// lateCopy is a copy of the answer to an earlier request on the connection.
type lateCopy struct {
	status  int
	unnamed bool
	of      int
	cut     int // bytes; negative: all
}

// attributionPlay is one upstream, listed under several ids and at several addresses, whose
// answers come as drawn.
type attributionPlay struct {
	arrivals []arrival
	listed   []string // addresses of its ids
	mu       sync.Mutex
	arrived  int
	runs     map[string]int
	fault    string
}

// pausingCoordinator takes some time to answer that there is no room.
type pausingCoordinator struct{ noModelCoordinator }

func (m *pausingCoordinator) RequestPermit(ctx context.Context, r *PermitRequest) (*Permit, error) {
	time.Sleep(permitTime)
	return m.noModelCoordinator.RequestPermit(ctx, r)
}

// playedCodec takes the id of a request from a header.
type playedCodec struct{ namedCodec }

func (playedCodec) DecodeRequest(h http.Header) RequestInfo {
	return RequestInfo{AttemptID: h.Get("Request")}
}

// Guards against a request that runs twice, is refused and runs, is given another's answer or
// outlives its time, whatever its upstream writes beside the own answer and however often it is
// listed.
func TestRequestsHoldTheirPromisesWhateverComesBesideTheirAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &attributionPlay{runs: map[string]int{}, arrivals: rapid.SliceOfN(rapid.Custom(drawArrival), 4, 12).Draw(rt, "arrivals")}
		requests := rapid.IntRange(1, 16).Draw(rt, "requests")
		p.listed = rapid.SliceOfN(rapid.SampledFrom([]string{"u", "v"}), 1, 4).Draw(rt, "listed")
		synctest.Test(t, func(t *testing.T) { p.run(requests) })
		if p.fault != "" {
			rt.Fatal(p.fault)
		}
	})
}

// run sends requests one after the other and checks what is said of each.
func (p *attributionPlay) run(requests int) {
	g, f := newGate(&pausingCoordinator{}, p.listed[0])
	for i, address := range p.listed[1:] {
		f.Apply([]deploy.Upstream{{ID: fmt.Sprint("u", i), Service: "s", Address: address, Slots: 4, Software: "v1"}}, nil, 0)
	}
	g.deps.Codec, g.deps.Client = playedCodec{}, conn.New(conn.Config{Dialer: p})
	changeRoute(g, func(r *deploy.Route) { r.Kind, r.Attempts, r.Timeout = deploy.NonIdempotent, 3, playTimeout })
	told := map[string]int{}
	for i := range requests {
		id := fmt.Sprint("r", i)
		began := time.Now()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set("Request", id)
		g.ServeHTTP(w, r)
		if took := time.Since(began); took > playTimeout+playSlack {
			p.fail("%s took %v", id, took)
		}
		if w.Code == http.StatusOK && w.Body.String() != "of "+id {
			p.fail("%s got %q", id, w.Body)
		}
		told[id] = w.Code
	}
	g.deps.Client.Close()
	time.Sleep(playEnd)
	p.check(told)
}

// fail records a fault; the first one counts.
func (p *attributionPlay) fail(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "" {
		p.fault = fmt.Sprintf(format, args...)
	}
}

func drawArrival(rt *rapid.T) arrival {
	copies := rapid.SliceOfN(rapid.Custom(drawCopy), 0, 2)
	a := arrival{refuses: rapid.IntRange(0, 3).Draw(rt, "refuses") == 0, status: drawStatus(rt), before: copies.Draw(rt, "before"), cut: -1}
	if rapid.IntRange(0, 4).Draw(rt, "doubled") == 0 {
		a.behind = copies.Draw(rt, "behind")
	}
	if rapid.IntRange(0, 30).Draw(rt, "whole") == 0 {
		a.cut = rapid.IntRange(0, 80).Draw(rt, "cut")
	}
	return a
}

func drawCopy(rt *rapid.T) lateCopy {
	c := lateCopy{status: rapid.SampledFrom([]int{200, 302, 400, 408, 421, 429, 500, 503}).Draw(rt, "copy"), unnamed: rapid.IntRange(0, 2).Draw(rt, "unnamed") == 0, of: rapid.IntRange(0, 5).Draw(rt, "of"), cut: -1}
	if rapid.IntRange(0, 30).Draw(rt, "whole") == 0 {
		c.cut = rapid.IntRange(0, 80).Draw(rt, "cut")
	}
	return c
}

func drawStatus(rt *rapid.T) int { return rapid.SampledFrom([]int{503, 429, 421}).Draw(rt, "status") }

// check checks what the requests were told by what ran.
func (p *attributionPlay) check(told map[string]int) {
	for id, status := range told {
		p.mu.Lock()
		runs := p.runs[id]
		p.mu.Unlock()
		if runs > 1 {
			p.fail("%s ran %d times", id, runs)
		}
		switch status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
			if runs > 0 {
				p.fail("%s was told %d and ran", id, status)
			}
		}
	}
}

// DialContext implements conn.Dialer with connections in memory.
func (p *attributionPlay) DialContext(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	out := make(chan string, 100)
	go func() { // the gate may read none of it for long
		defer func() { _ = b.Close() }()
		for s := range out {
			if _, err := io.WriteString(b, s); err != nil {
				return
			}
		}
	}()
	go p.serve(b, out)
	return pipeConn{a}, nil
}

// pipeConn is a pipe whose deadlines can be set after the peer has closed, as those of a TCP
// connection can.
type pipeConn struct{ net.Conn }

func (c pipeConn) SetReadDeadline(t time.Time) error {
	_ = c.Conn.SetReadDeadline(t) // fails only where the next read does, too
	return nil
}

func (p *attributionPlay) serve(nc net.Conn, out chan<- string) {
	defer close(out)
	var earlier []string
	for br := bufio.NewReader(nc); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Request")
		if id == "" { // a look at the upstream's state
			out <- textAnswer(http.StatusNotFound, "", "")
			continue
		}
		a := p.arrive(id)
		out <- copiesOf(a.before, earlier)
		own := textAnswer(http.StatusOK, "Names: "+id+"\r\nSealed: 1\r\n", "of "+id)
		if a.refuses {
			own = textAnswer(a.status, "Not-Run: 1\r\nNames: "+id+"\r\n", "full")
		}
		if a.cut >= 0 {
			out <- own[:min(a.cut, len(own))]
			return
		}
		earlier = append(earlier, id)
		out <- own + copiesOf(a.behind, earlier)
	}
}

// arrive records a request, which runs if it is not refused.
func (p *attributionPlay) arrive(id string) arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.arrivals[p.arrived%len(p.arrivals)]
	p.arrived++
	if !a.refuses {
		p.runs[id]++
	}
	return a
}

// copiesOf writes copies of the answers to earlier requests.
func copiesOf(copies []lateCopy, earlier []string) string {
	var b strings.Builder
	for _, c := range copies {
		if len(earlier) == 0 {
			break
		}
		id := earlier[c.of%len(earlier)]
		headers := "Not-Run: 1\r\nSealed: 1\r\n"
		if !c.unnamed {
			headers += "Names: " + id + "\r\n"
		}
		text := textAnswer(c.status, headers, "of "+id)
		if c.cut >= 0 {
			text = text[:min(c.cut, len(text))]
		}
		b.WriteString(text)
	}
	return b.String()
}
