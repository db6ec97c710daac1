package drain

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// running is a Server under a test's control.
type running struct {
	*Server
	address string
}

// run serves h on plain or secured connections.
func run(t *testing.T, h http.HandlerFunc, secured bool) *running {
	t.Helper()
	if secured {
		return runWrapped(t, h, func(ln net.Listener) net.Listener { return ln })
	}
	return runWrapped(t, h, nil)
}

// runWrapped serves h; if wrap is not nil, on secured connections whose listener
// wrap has wrapped.
func runWrapped(t *testing.T, h http.HandlerFunc, wrap func(net.Listener) net.Listener) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cfg := Config{Listener: ln, Server: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	if wrap != nil {
		donor := httptest.NewTLSServer(nil)
		t.Cleanup(donor.Close)
		cfg.Secure = func(ln net.Listener) net.Listener {
			return wrap(tls.NewListener(ln, &tls.Config{Certificates: donor.TLS.Certificates}))
		}
	}
	s := &running{Server: New(cfg), address: ln.Addr().String()}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		s.CloseListener()
		s.Close()
		assert.NilError(t, <-done)
	})
	return s
}

// dial opens a caller's connection.
func (s *running) dial() (net.Conn, error) {
	if s.cfg.Secure != nil {
		return tls.Dial("tcp", s.address, &tls.Config{InsecureSkipVerify: true})
	}
	return net.Dial("tcp", s.address)
}

// answered reads one answer and checks its body.
func answered(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "ok")
}

// phases counts the connections in each phase.
func (s *running) phases() (n [phaseClosing + 1]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		n[c.phase.Load()]++
	}
	return n
}

// Symptom: a caller's connection ends while it sends a request of which the
// server has the beginning.
// Sequence: the beginning was pipelined, and read together with the request
// before; the server reads on; the connection is asked to close by a shutdown or
// for being idle.
// Cause: bytes in the server's buffer do not count if the read that returned them
// also returned the end of the request before.
func TestAPipelinedBeginningCountsAsARequest(t *testing.T) {
	t.Parallel()
	for name, of := range map[string]struct {
		bytes   int
		secured bool
	}{
		"a byte":               {bytes: 1},
		"few bytes":            {bytes: 3},
		"half a head":          {bytes: len(get) / 2},
		"half a head, secured": {bytes: len(get) / 2, secured: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			half := of.bytes
			s := run(t, answerOK, of.secured)
			c, err := s.dial()
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(8 * time.Second))
			_, err = io.WriteString(c, get+get[:half])
			assert.NilError(t, err)
			answers := bufio.NewReader(c)
			answered(t, answers)
			time.Sleep(50 * time.Millisecond) // the server waits for the rest
			assert.Equal(t, s.DrainStep(), 1)
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(c, get[half:])
			assert.NilError(t, err)
			answered(t, answers)
		})
	}
}

// Symptom: a connection is closed although the beginning of a request arrived.
// Sequence: secured callers at a shutdown: a kept-alive connection, the next
// request in one TLS record.
func TestASecuredConnectionIsAnswered(t *testing.T) {
	t.Parallel()
	s := run(t, answerOK, true)
	c, err := tls.Dial("tcp", s.address, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	answers := bufio.NewReader(c)
	_, err = io.WriteString(c, get)
	assert.NilError(t, err)
	answered(t, answers)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.phases()[phaseIdle] != 1 {
			return poll.Continue("not idle")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	_, err = io.WriteString(c, get)
	assert.NilError(t, err)
	answered(t, answers)
	_, err = io.WriteString(c, get+get)
	assert.NilError(t, err)
	answered(t, answers)
	answered(t, answers)
	assert.NilError(t, s.Drain(t.Context()))
}

// Symptom: a connection is never idle again after a request with a long body.
// Sequence: the handler reads the body in pieces that are larger than the
// server's buffer.
// Cause: the fill of that buffer is derived from the size of the next read.
func TestAConnectionIsIdleAfterALongBody(t *testing.T) {
	t.Parallel()
	s := run(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		answerOK(w, r)
	}, false)
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000))
	assert.NilError(t, err)
	answered(t, bufio.NewReader(c))
	began := time.Now()
	assert.NilError(t, s.Drain(t.Context()))
	assert.Assert(t, time.Since(began) < time.Second, "the stop took %v", time.Since(began))
}
