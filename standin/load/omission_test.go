package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/answer"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/load"
)

// pipes is a listener with connections in memory.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far
	return near, nil
}

// An entry host stalls for two seconds. A generator that waits for answers before
// it sends more would record one slow call, whereas real callers continue to call
// and each call that is due during the stall waits for its end.
func TestStallCountsInEveryCallThatWasDueDuringIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if at := time.Since(start); at > time.Second && at < 3*time.Second {
				time.Sleep(3*time.Second - at)
			}
			_, _ = w.Write([]byte("{}"))
		})}
		go func() { _ = srv.Serve(p) }()
		src := source(load.KindService)
		src.Curve = load.Curve{Points: []load.Point{{AtSeconds: 0, PerSecond: 50}}}
		plan := load.Plan(3, 5*time.Second, []load.Source{src})
		res := load.Run(t.Context(), load.Config{Plan: plan, Entries: load.NewBalancer("127.0.0.1:1"), Dial: p.dial})
		assert.Equal(t, len(res.Invocations), len(plan))
		stalled := 0
		for _, v := range res.Invocations {
			at := v.Arrival.Offset
			if at <= time.Second || at >= 3*time.Second {
				continue
			}
			stalled++
			assert.Assert(t, v.Total >= 3*time.Second-at, "%v meant for %v", v.Total, at)
		}
		assert.Assert(t, stalled > 80)
		assert.NilError(t, srv.Close())
		synctest.Wait()
	})
}

// Callers give up on a stream. If its tokens were still coming, the system was
// only slow; if it was idle, the answer was truncated, and counting the call as
// abandoned would hide the fault.
func TestAbandonedStreamIsTruncatedOnlyWhenItIsIdle(t *testing.T) {
	for _, c := range []struct {
		tokenTime time.Duration
		verdict   load.Verdict
	}{{time.Second, load.VerdictAbandoned}, {time.Hour, load.VerdictNone}, {0, load.VerdictTruncated}} {
		synctest.Test(t, func(t *testing.T) {
			p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
			e, err := engine.New(engine.Config{Name: "e1", TokenTime: c.tokenTime})
			assert.NilError(t, err)
			defer e.Close()
			e.Preload("m", "", "v1", 1)
			srv := &http.Server{Handler: e.Handler()}
			if c.tokenTime == 0 {
				srv.Handler = http.HandlerFunc(silentAfterOne)
			}
			go func() { _ = srv.Serve(p) }()
			defer func() { _ = srv.Close(); synctest.Wait() }()
			src := source(load.KindStream)
			src.Deadline = 5 * time.Second
			plan := load.Plan(3, 50*time.Millisecond, []load.Source{src})[:1]
			res := load.Run(t.Context(), load.Config{Plan: plan, Entries: load.NewBalancer("127.0.0.1:1"), Dial: p.dial})
			v := res.Invocations[0]
			assert.Equal(t, v.Verdict, c.verdict)
			assert.Equal(t, v.Lost(), c.verdict == load.VerdictNone)
		})
	}
}

// silentAfterOne streams the first event of the answer and then nothing.
func silentAfterOne(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Messages  []struct{ Content string }
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	token := answer.For(q.Messages[0].Content, q.MaxTokens).AppendToken(nil, 1)
	_, _ = fmt.Fprintf(w, "id: a.1\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}
