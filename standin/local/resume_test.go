package local_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/local"
)

// silencingDialer lets one connection go silent: the first on which a stream's rest is
// asked for, before the answer's head.
type silencingDialer struct {
	net.Dialer
	armed atomic.Bool
}

// DialContext implements conn.Dialer.
func (d *silencingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silencingConn{Conn: c, d: d}, nil
}

type silencingConn struct {
	net.Conn
	d *silencingDialer
}

// Write swallows the question for a stream's rest, once.
func (c *silencingConn) Write(p []byte) (int, error) {
	if isResumeRequest(p) && c.d.armed.CompareAndSwap(true, false) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func isResumeRequest(p []byte) bool {
	return bytes.HasPrefix(p, []byte("GET ")) && bytes.Contains(p, []byte("/stream?after="))
}

// Symptom: a caller that resumes its stream through another host waits until it
// loses patience.
// Sequence: its host dies; the next one asks the engine for the rest; that very
// connection goes silent before the head of the answer.
// Cause: the exchange is watched only once its head has come.
func TestAConnectionThatGoesSilentBeforeTheRestIsReplaced(t *testing.T) {
	d := &silencingDialer{}
	// The engine gives a stream up that nobody reads for long.
	p := newFixture(t, engine.Config{TokenTime: 5 * time.Millisecond, ResumeWindow: 5 * time.Second}, func(c *local.NodeConfig) { c.Dialer = d })
	const tokens = 1200 // not done by the time at which the engine gives up
	body := fmt.Sprintf(chat, true, tokens)
	ctx, cancel := context.WithCancel(t.Context())
	resp, _, begin := p.openStream(ctx, p.base, body, 5)
	cancel()
	_ = resp.Body.Close()
	d.armed.Store(true)
	status, _, rest := p.do("GET", "/v1/requests/"+resp.Header.Get("Peridot-Resume")+"/stream", teamKey, "", "Last-Event-ID", "5")
	assert.Equal(t, status, http.StatusOK, rest)
	assert.Equal(t, strings.Count(begin+rest, "id: "), tokens+1)
	assert.Assert(t, strings.HasSuffix(rest, "data: [DONE]\n\n"), "the rest is cut")
	assert.Assert(t, !d.armed.Load(), "nothing went silent: the test shows nothing")
}
