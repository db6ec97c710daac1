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
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

// unframedPart is an answer that states no end, and a part of its body.
const unframedPart = "HTTP/1.1 200 OK\r\n\r\npart of the answer"

// earlyEnds are the ways in which an upstream ends a connection whose request it has not read.
var earlyEnds = map[string]func(nc *net.TCPConn){
	"reset":              func(nc *net.TCPConn) { _ = nc.SetLinger(0) },
	"closed":             func(*net.TCPConn) {},
	"ended, then closed": func(nc *net.TCPConn) { _ = nc.CloseWrite(); time.Sleep(2 * time.Millisecond) },
}

// earlyAnswer answers after it has read some bytes, slowly if told so, and ends the connection.
func earlyAnswer(t *testing.T, read int, slowly bool, answer string, end func(*net.TCPConn)) (address string) {
	return serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		nc := c.(*net.TCPConn)
		_ = nc.SetReadBuffer(128 << 10)
		for left := read; left > 0; left -= 8 << 10 {
			_, _ = io.CopyN(io.Discard, r, int64(min(left, 8<<10)))
			if slowly {
				time.Sleep(time.Millisecond)
			}
		}
		_, _ = r.Peek(1)
		_, _ = io.WriteString(nc, answer)
		time.Sleep(time.Millisecond)
		end(nc)
		_ = nc.Close()
	})
}

// exchangeBody sends a body and returns what came of the answer, and how it ended.
func exchangeBody(t *testing.T, address string, size int) (string, error) {
	resp, err := conn.New(conn.Config{Dialer: conn.NewDialer()}).Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, size)})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Abort()
		return string(body), err
	}
	resp.Finish()
	return string(body), nil
}

// Guards against a part of an answer without an end that is taken for all of it: its
// connection ends while the request is still being written, and the write, not the read, is
// told of the reset.
func TestAnAnswerCutWhileItsRequestIsWrittenIsNotWhole(t *testing.T) {
	t.Parallel()
	const tries = 6 // of bodies that the upstream's kernel does not take: the write and the read are told by turns
	for how, end := range earlyEnds {
		for _, size := range []int{1 << 20, 4 << 20, 16 << 20} {
			for _, read := range []int{0, 100 << 10} {
				for _, slowly := range []bool{false, true} {
					t.Run(fmt.Sprint(how, " ", size, " ", read, " ", slowly), func(t *testing.T) {
						t.Parallel()
						address := earlyAnswer(t, read, slowly, unframedPart, end)
						for range tries {
							body, err := exchangeBody(t, address, size)
							assert.Assert(t, err != nil, "%q looks whole", body)
						}
					})
				}
			}
		}
	}
}

// Guards against the same for a request that is passed on as it comes, whose answer is read only
// when nothing more can be written.
func TestAnAnswerCutWhileAStreamedRequestIsWrittenIsNotWhole(t *testing.T) {
	t.Parallel()
	for how, end := range earlyEnds {
		for _, length := range []int64{16 << 20, -1} {
			address := earlyAnswer(t, 0, false, unframedPart, end)
			resp, err := conn.New(conn.Config{Dialer: conn.NewDialer()}).Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{},
				Stream: bytes.NewReader(make([]byte, 16<<20)), StreamLength: length})
			if err != nil {
				continue
			}
			body, err := resp.ReadAll(1 << 10)
			assert.Assert(t, err != nil, "%s: %q looks whole", how, body)
		}
	}
}

// Guards against a sound early answer that counts as cut: its upstream reads the rest of the
// request after it has ended its own side, or the answer itself states its end.
func TestASoundEarlyAnswerIsWhole(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4 << 10, 256 << 10, 4 << 20} {
		readsOn := func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, nc)
		}
		body, err := exchangeBody(t, earlyAnswer(t, 0, false, unframedPart, readsOn), size)
		assert.NilError(t, err)
		assert.Equal(t, body, "part of the answer")
		for _, whole := range []string{ok, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
			body, err = exchangeBody(t, earlyAnswer(t, 0, false, whole, earlyEnds["ended, then closed"]), size)
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
		}
	}
}

// Guards against the end of an answer that waits for a request which its upstream does not
// read, beyond the time that a read may take.
func TestTheEndOfAnAnswerWaitsNoLongerThanARead(t *testing.T) {
	t.Parallel()
	const wait = 50 * time.Millisecond
	release := make(chan struct{})
	defer close(release)
	address := earlyAnswer(t, 0, false, unframedPart, func(nc *net.TCPConn) { _ = nc.CloseWrite(); <-release })
	resp, err := conn.New(conn.Config{Dialer: conn.NewDialer()}).Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, 16<<20)})
	assert.NilError(t, err)
	defer resp.Abort()
	began := time.Now()
	_, err = resp.ReadAllWithin(1<<10, wait)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(began) < 20*wait)
}

// readsLater answers at once, then reads the rest of each request slowly, and tells how many
// bytes of the bodies came.
func readsLater(t *testing.T, got chan<- int64) (address string) {
	return serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
		_ = nc.(*net.TCPConn).SetReadBuffer(128 << 10)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(nc, ok)
		time.Sleep(20 * time.Millisecond)
		n, _ := io.Copy(io.Discard, req.Body)
		got <- n
	})
}

// Guards against an upstream that works on a part of a request, whose caller was told that all
// is well: it answers early and reads on, and the connection is closed under the rest.
func TestARequestIsWrittenToItsEndBehindItsAnswer(t *testing.T) {
	t.Parallel()
	const size = 8 << 20
	got := make(chan int64, 1)
	address := readsLater(t, got)
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	resp, err := client.Do(ctx, &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, size)})
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	uploaded := make(chan error, 1)
	resp.OnUploaded(func(err error) { uploaded <- err })
	resp.Finish()
	assert.Equal(t, client.Uploads(), 1)
	cancel() // its caller has its answer and leaves
	assert.Equal(t, <-got, int64(size))
	assert.NilError(t, <-uploaded)
	assert.Assert(t, !client.HasIdleConnection(address))
	client.AwaitUploads(t.Context())
	assert.Equal(t, client.Uploads(), 0)
}

// Guards against a request that is written for ever behind its answer: its upstream never reads
// on.
func TestARequestBehindItsAnswerEndsByTheDeadline(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	address := earlyAnswer(t, 0, false, ok, func(*net.TCPConn) { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	resp, err := conn.New(conn.Config{Dialer: conn.NewDialer()}).Do(ctx, &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, 16<<20)})
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	uploaded := make(chan error, 1)
	resp.OnUploaded(func(err error) { uploaded <- err })
	resp.Finish()
	select {
	case err := <-uploaded:
		assert.ErrorContains(t, err, "timeout")
	case <-time.After(3 * time.Second):
		t.Fatal("it is written on")
	}
}
