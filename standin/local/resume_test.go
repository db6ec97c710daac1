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

// silencingDialer makes one connection unresponsive once it is armed: the first on which
// the remainder of a stream is requested, before the head of the answer.
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

// Write drops the request for a stream's remainder once and reports success.
func (c *silencingConn) Write(p []byte) (int, error) {
	if isResumeRequest(p) && c.d.armed.CompareAndSwap(true, false) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func isResumeRequest(p []byte) bool {
	return bytes.HasPrefix(p, []byte("GET ")) && bytes.Contains(p, []byte("/stream?after="))
}

// Symptom: a caller that resumes its stream through another host waits until its own
// timeout.
// Sequence: its host dies; the next host requests the remainder from the engine; this
// connection becomes unresponsive before the head of the answer.
// Cause: the exchange is monitored only after its head has arrived.
func TestAConnectionThatGoesSilentBeforeTheRestIsReplaced(t *testing.T) {
	d := &silencingDialer{}
	// The engine ends a stream that is not read for ResumeWindow.
	p := newFixture(t, engine.Config{TokenTime: 5 * time.Millisecond, ResumeWindow: 5 * time.Second}, func(c *local.NodeConfig) { c.Dialer = d })
	const tokens = 1200 // not finished when the engine would end the stream
	body := fmt.Sprintf(chat, true, tokens)
	ctx, cancel := context.WithCancel(t.Context())
	resp, _, begin := p.openStream(ctx, p.base, body, 5)
	cancel()
	_ = resp.Body.Close()
	d.armed.Store(true)
	status, _, rest := p.do("GET", "/v1/requests/"+resp.Header.Get("Peridot-Resume")+"/stream", teamKey, "", "Last-Event-ID", "5")
	assert.Equal(t, status, http.StatusOK, rest)
	assert.Equal(t, strings.Count(begin+rest, "id: "), tokens+1)
	assert.Assert(t, strings.HasSuffix(rest, "data: [DONE]\n\n"), "the remainder is cut")
	assert.Assert(t, !d.armed.Load(), "no connection became unresponsive: the test shows nothing")
}
