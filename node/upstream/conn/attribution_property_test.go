package conn_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/conn"
)

const (
	// playDeadline is the time that each request of a play has, playSlack what its end may take.
	playDeadline = 3 * time.Second
	playSlack    = 10 * time.Millisecond
	// playEnd is how long the upstream's side may take to end after the last request.
	playEnd = 20 * time.Second
	// maxPlayForeign is how many foreign answers may be read for one request.
	maxPlayForeign = 5
	// playBodyLimit is the largest body that a play accepts, in bytes.
	playBodyLimit = 128 << 10
)

// playedRequest is one request of a play, with all that its upstream writes for it.
type playedRequest struct {
	id     string
	method string
	body   int // bytes
	ran    bool
	early  bool // the first answers come before the body is read
	pieces []piece
}

// sentRequest is a request that reached the upstream.
type sentRequest struct {
	playedRequest
	attempt int
	conn    int // number of its connection, from 0
}

// play is one sequence of requests over the connections of one client.
type play struct {
	requests []playedRequest

	mu       sync.Mutex
	conns    int
	sent     []sentRequest // in the order of arrival
	doubtful map[int]bool  // connections that may not be used again
	fault    string
}

// tcpLike dials pipes whose deadlines can be set after the peer has closed, as those of TCP
// connections can.
type tcpLike struct{ *pipes }

type tcpLikeConn struct{ net.Conn }

func (c tcpLikeConn) SetReadDeadline(t time.Time) error {
	_ = c.Conn.SetReadDeadline(t) // fails only where the next read does, too
	return nil
}

func (d tcpLike) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.pipes.DialContext(ctx, network, address)
	return tcpLikeConn{c}, err
}

// fail records a fault; the first one counts.
func (p *play) fail(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "" {
		p.fault = fmt.Sprintf(format, args...)
	}
}

// Guards against a request that is given another's answer, is told that it did not run
// after it ran, outlives its deadline, or goes over a connection that is in doubt: whatever
// an upstream writes, wherever it is cut.
func TestWhateverComesOnAConnectionNoRequestIsGivenAnothersAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &play{doubtful: map[int]bool{}, requests: rapid.SliceOfN(rapid.Custom(drawRequest), 1, 8).Draw(rt, "requests")}
		synctest.Test(t, func(t *testing.T) { p.run(t) })
		if p.fault != "" {
			rt.Fatal(p.fault)
		}
	})
}

func drawRequest(rt *rapid.T) playedRequest {
	r := playedRequest{
		id:     rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "id"),
		method: rapid.SampledFrom([]string{"POST", "POST", "GET", "HEAD"}).Draw(rt, "method"),
		ran:    rapid.Bool().Draw(rt, "ran"),
		early:  rapid.IntRange(0, 5).Draw(rt, "early") == 0,
	}
	if r.method == "POST" {
		r.body = rapid.SampledFrom([]int{1, 100, 20 << 10}).Draw(rt, "body")
	}
	for _, k := range rapid.SliceOfN(rapid.SampledFrom(pieceKinds), 0, 3).Draw(rt, "before") {
		r.pieces = append(r.pieces, drawPiece(rt, k))
	}
	if rapid.IntRange(0, 9).Draw(rt, "answered") > 0 {
		r.pieces = append(r.pieces, drawPiece(rt, pieceOwn))
	}
	for _, k := range rapid.SliceOfN(rapid.SampledFrom(append(pieceKinds, pieceUnnamed, pieceOwn)), 0, 2).Draw(rt, "behind") {
		r.pieces = append(r.pieces, drawPiece(rt, k))
	}
	return r
}

// run sends the requests one after the other.
func (p *play) run(t *testing.T) {
	c := conn.New(conn.Config{Dialer: tcpLike{&pipes{serve: p.serve}}})
	for n, r := range p.requests {
		ctx, cancel := context.WithTimeout(t.Context(), playDeadline)
		began := time.Now()
		p.send(ctx, c, n, r)
		if took := time.Since(began); took > playDeadline+playSlack {
			p.fail("request %d took %v", n, took)
		}
		cancel()
		time.Sleep(5 * time.Millisecond) // what comes behind an answer may arrive before the next request
	}
	c.Close()
	time.Sleep(playEnd)
}

// send sends one request and checks what is said of it.
func (p *play) send(ctx context.Context, c *conn.Client, n int, r playedRequest) {
	foreign := 0
	resp, err := c.Do(ctx, &conn.Request{ID: r.id, Address: "u", Method: r.method, Path: "/", Body: make([]byte, r.body),
		Header: http.Header{"Id": {r.id}, "Attempt": {strconv.Itoa(n)}},
		Owner: func(h http.Header) conn.Owner {
			switch h.Get("Id") {
			case r.id:
				return conn.OwnedByRequest
			case "":
				return conn.OwnerUnnamed
			}
			return conn.OwnedByOther
		},
		OnForeign: func(conn.ForeignAnswer) { foreign++ }})
	if foreign > maxPlayForeign {
		p.fail("%d foreign answers were read for attempt %d", foreign, n)
	}
	if err != nil {
		p.checkError(n, err, foreign)
		return
	}
	body, err := resp.ReadAll(playBodyLimit)
	p.checkAnswer(n, r, resp, body, err)
	if err != nil || foreign > 0 || resp.Header.Get("Connection") == "close" || resp.Framing == conn.ByConnection {
		p.doubt(n)
	}
}

// checkError checks what an error says of attempt n.
func (p *play) checkError(n int, err error, foreign int) {
	p.doubt(n)
	if foreign > 0 && !errors.Is(err, conn.ErrForeignAnswer) && !errors.Is(err, context.DeadlineExceeded) {
		p.fail("attempt %d: %d foreign answers came, and the error is %v", n, foreign, err)
	}
	arrived := p.arrival(n) != nil
	if fault.From(fault.StepDispatch, err).Outcome == outcome.NotRun && arrived {
		p.fail("attempt %d arrived and is said not to have run: %v", n, err)
	}
}

// checkAnswer checks that an answer is the one to attempt n.
func (p *play) checkAnswer(n int, r playedRequest, resp *conn.Response, body []byte, err error) {
	if got := resp.Header.Get("Of"); got != strconv.Itoa(n) {
		p.fail("attempt %d got the answer to %q, status %d", n, got, resp.Status)
	}
	if resp.Header.Get("Not-Run") != "" && r.ran {
		p.fail("attempt %d ran and is said not to have run", n)
	}
	own := ownBody(n)
	whole := err == nil && resp.Framing != conn.ByConnection && r.method != http.MethodHead && resp.Status != http.StatusNoContent
	if !bytes.HasPrefix(own, body) || whole && len(own) != len(body) {
		p.fail("attempt %d got the body %.80q of %d bytes, error %v", n, body, len(body), err)
	}
}

// arrival returns attempt n as it arrived; nil: it did not.
func (p *play) arrival(n int) *sentRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.sent {
		if p.sent[i].attempt == n {
			return &p.sent[i]
		}
	}
	return nil
}

// doubt records that the connection of attempt n may not be used again.
func (p *play) doubt(n int) {
	if s := p.arrival(n); s != nil {
		p.mu.Lock()
		p.doubtful[s.conn] = true
		p.mu.Unlock()
	}
}

// serve is the upstream's side of one connection.
func (p *play) serve(nc net.Conn) {
	p.mu.Lock()
	w := &playedConn{play: p, nc: nc, number: p.conns, queue: make(chan []byte, 1000)}
	p.conns++
	p.mu.Unlock()
	go w.write()
	defer close(w.queue)
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n, _ := strconv.Atoi(req.Header.Get("Attempt"))
		s := w.receive(n)
		if s.early {
			w.answer(s)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.early {
			w.answer(s)
		}
	}
}

// receive records the arrival of attempt n.
func (w *playedConn) receive(n int) sentRequest {
	p := w.play
	s := sentRequest{playedRequest: p.requests[n], attempt: n, conn: w.number}
	p.mu.Lock()
	doubtful := p.doubtful[w.number]
	for _, o := range w.received {
		if o.id == s.id {
			doubtful = true
		}
	}
	p.sent = append(p.sent, s)
	p.mu.Unlock()
	if doubtful {
		p.fail("attempt %d came on connection %d, which is in doubt or had the same request", n, w.number)
	}
	w.received = append(w.received, s)
	return s
}
