package connlimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fakeConn is a connection from which any number of bytes can be read.
type fakeConn struct {
	net.Conn
	closed bool
	past   bool // its read deadline has passed
}

func (c *fakeConn) Read(p []byte) (int, error) {
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.past:
		return 0, os.ErrDeadlineExceeded
	}
	return len(p), nil
}
func (c *fakeConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *fakeConn) Close() error                { c.closed = true; return nil }
func (c *fakeConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.past = !t.IsZero() && t.Before(time.Now())
	return nil
}

// fakeListener accepts as many fakeConns as are asked for.
type fakeListener struct{ net.Listener }

func (fakeListener) Accept() (net.Conn, error) { return &fakeConn{}, nil }

func accept(t rapid.TB, ln net.Listener) *Conn {
	nc, err := ln.Accept()
	assert.NilError(t, err)
	return nc.(*Conn)
}

// Property: whatever connections do in whatever order, they hold no more than the bounds, but for a
// single request and for those that are being served, and nothing once they are gone.
func TestConnectionsHoldNoMoreThanTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxConns, maxBytes = 5, 1 << 20
		l := New(Config{MaxConns: maxConns, MaxBytes: maxBytes})
		requests, messages := l.Listen(fakeListener{}, "requests"), l.ListenForMessages(fakeListener{}, "messages")
		var all []*Conn
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(all) == 0 || rapid.IntRange(0, 5).Draw(t, "opens") == 0 {
				ln := rapid.SampledFrom([]net.Listener{requests, messages}).Draw(t, "listener")
				if conns, _ := l.Held(); conns < maxConns || l.leastUseful() != nil { // else it waits for one to end
					all = append(all, accept(t, ln))
				}
				continue
			}
			c := rapid.SampledFrom(all).Draw(t, "connection")
			switch rapid.IntRange(0, 6).Draw(t, "does") {
			case 0:
				c.begun()
			case 1:
				c.complete()
			case 2:
				c.finished()
			case 3:
				_, _ = c.Write(make([]byte, 1))
			case 4:
				_ = c.Close()
			default:
				_, _ = c.Read(make([]byte, rapid.IntRange(1, 300_000).Draw(t, "bytes")))
			}
			checkBounds(t, l, maxConns, maxBytes)
		}
		for _, c := range all {
			_ = c.Close()
		}
		conns, held := l.Held()
		assert.Equal(t, conns, 0)
		assert.Equal(t, held, int64(0))
	})
}

func (l *Limiter) leastUseful() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leastUsefulLocked()
}

func checkBounds(t rapid.TB, l *Limiter, maxConns int, maxBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Assert(t, len(l.conns) <= maxConns)
	sum, holders, incompletes := int64(0), 0, 0
	for c := range l.conns {
		s := c.snapshot()
		sum += s.held
		if s.held > 0 {
			holders++
		}
		if s.held > 0 && s.phase == incomplete {
			incompletes++
		}
	}
	assert.Equal(t, l.held.Load(), sum)
	assert.Assert(t, sum <= maxBytes || incompletes == 0 || holders < 2, "%d bytes by %d, %d of them incomplete", sum, holders, incompletes)
}

// Guards against a connection that makes room while its request is being served.
func TestARequestThatIsServedMakesNoRoom(t *testing.T) {
	l := New(Config{MaxConns: 2, MaxBytes: 1000})
	ln := l.Listen(fakeListener{}, "callers")
	served, first := accept(t, ln), accept(t, ln)
	served.complete()
	second := accept(t, ln) // closes first
	assert.Assert(t, first.Conn.(*fakeConn).closed)
	assert.Assert(t, !served.Conn.(*fakeConn).closed)
	second.finished()
	accept(t, ln)
	assert.Assert(t, second.Conn.(*fakeConn).closed, "idle ones come last")
	assert.Assert(t, !served.Conn.(*fakeConn).closed)
}

// Guards against closing the connection of a client that was served before, for one that was not yet.
func TestThoseThatNeverCompletedARequestMakeRoomFirst(t *testing.T) {
	l := New(Config{MaxConns: 2})
	ln := l.Listen(fakeListener{}, "callers")
	known := accept(t, ln)
	known.finished()
	_, _ = known.Read(make([]byte, 1)) // its next request has begun
	time.Sleep(time.Millisecond)
	unknown := accept(t, ln)
	accept(t, ln)
	assert.Assert(t, unknown.Conn.(*fakeConn).closed && !known.Conn.(*fakeConn).closed)
}

// Guards against a body that goes on to be read after it was refused, and against a refused request that
// gets no answer: its handler must see that its body ends, and why.
func TestARefusedBodyEndsAndIsAnswered(t *testing.T) {
	l := New(Config{MaxBytes: 200 << 10})
	answered := make(chan string, 2)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		w.Header().Set("Connection", "close")
		if err != nil && Refused(r.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	Bind(s, Accepted)
	plain := httptest.NewUnstartedServer(nil)
	defer plain.Close()
	go func() { _ = s.Serve(l.Listen(plain.Listener, "callers")) }()
	defer func() { _ = s.Close() }()
	for range 2 {
		go func() {
			c, err := net.Dial("tcp", plain.Listener.Addr().String())
			if err != nil {
				answered <- err.Error()
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 90_000))
			line := make([]byte, len("HTTP/1.1 503"))
			_, _ = io.ReadFull(c, line)
			answered <- string(line)
		}()
	}
	assert.Equal(t, <-answered, "HTTP/1.1 503")
	select {
	case a := <-answered:
		t.Errorf("the other one has room, and got %q", a)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a refused body that is read on since its handler, or the server, sets a read deadline anew.
func TestARefusedBodyStaysRefused(t *testing.T) {
	l := New(Config{MaxBytes: 1 << 10})
	ln := l.Listen(fakeListener{}, "callers")
	refused, other := accept(t, ln), accept(t, ln)
	for _, c := range []*Conn{refused, other} {
		c.begun()
	}
	_, _ = other.Read(make([]byte, 1))
	_, _ = refused.Read(make([]byte, 2<<10))
	assert.NilError(t, refused.SetReadDeadline(time.Time{}))
	body := &trackedBody{io.NopCloser(refused), refused}
	_, err := body.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, held := l.Held()
	assert.Equal(t, held, int64(1))
}

// Guards against small requests that are refused while large ones that are being served hold almost
// all that may be held.
func TestASmallRequestFindsRoomBesideLargeOnes(t *testing.T) {
	l := New(Config{MaxBytes: 10 << 20})
	ln := l.Listen(fakeListener{}, "callers")
	for range 200 { // each completes if it is not refused
		large := accept(t, ln)
		large.begun()
		for range 70 {
			_, _ = large.Read(make([]byte, 1<<10))
		}
		large.complete()
	}
	small := accept(t, ln)
	_, _ = small.Read(make([]byte, 2<<10))
	assert.Assert(t, !small.Conn.(*fakeConn).closed)
	_, held := l.Held()
	assert.Assert(t, held > 8<<20, "%d bytes", held)
}

// Guards against bounds that a usual machine's own requests meet, or that leave nothing for others.
func TestTheBoundsFollowFromTheMachine(t *testing.T) {
	for _, c := range []struct {
		Machine
		conns int
		bytes int64
	}{
		{Machine{MemoryMB: 284, Descriptors: 3900}, 1560, 71 << 20},
		{Machine{MemoryMB: 184, Descriptors: 3900}, 1177, 46 << 20},
		{Machine{MemoryMB: 64, Descriptors: 300}, 120, 16 << 20},
		{Machine{MemoryMB: 16, Descriptors: 100}, 40, 8 << 20},
		{Machine{}, 0, 0},
	} {
		got := c.ForClients()
		assert.Equal(t, got.MaxConns, c.conns)
		assert.Equal(t, got.MaxBytes, c.bytes)
	}
	assert.Equal(t, HeapLimit(284), int64(284)<<20*6/10)
}

// BenchmarkRead measures what the account costs each read of a usual request.
func BenchmarkRead(b *testing.B) {
	l := New(Config{MaxBytes: 1 << 30})
	c := accept(&testing.T{}, l.Listen(fakeListener{}, "callers"))
	p := make([]byte, 600)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Read(p)
		c.complete()
		c.finished()
	}
}
