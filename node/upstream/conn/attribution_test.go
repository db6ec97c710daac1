package conn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/upstream/conn"
)

// named returns a request that knows its answer by the header Id.
func named(id string) *conn.Request {
	return &conn.Request{Address: "u", Method: "POST", Path: "/", Header: http.Header{}, Body: []byte("x"), Owner: func(h http.Header) conn.Owner {
		switch h.Get("Id") {
		case id:
			return conn.OwnedByRequest
		case "":
			return conn.OwnerUnnamed
		}
		return conn.OwnedByOther
	}}
}

// write is something that a scripted upstream writes after a wait.
type write struct {
	after time.Duration
	text  string
}

// script returns a server function that writes the given texts for each of its requests.
func script(requests ...[]write) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for _, writes := range requests {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			for _, w := range writes {
				time.Sleep(w.after)
				_, _ = io.WriteString(c, w.text)
			}
		}
		_, _ = r.ReadByte() // until the peer closes
	}
}

const (
	ownOK        = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"
	otherRefusal = "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
)

// second sends two requests over one connection and returns the answer to the second.
func second(t *testing.T, writes ...write) (*conn.Response, error) {
	c := conn.New(conn.Config{Dialer: &pipes{serve: script([]write{{text: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"}}, writes)}})
	first, err := c.Do(t.Context(), named("a"))
	assert.NilError(t, err)
	_, err = first.ReadAll(10)
	assert.NilError(t, err)
	return c.Do(t.Context(), named("b"))
}

// Guards against a promise that a request did not run whose head begins with that of a
// truncated answer to another request and ends with that of the request's own.
func TestAHeadOfTwoAnswersIsNotBelieved(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nServer: x\r\nId: a\r\n"
	for cut := range len(head) {
		synctest.Test(t, func(t *testing.T) {
			resp, err := second(t, write{text: head[:cut]}, write{text: ownOK})
			if err == nil {
				assert.Equal(t, resp.Header.Get("Not-Run"), "", "cut after %q", head[:cut])
				assert.Equal(t, resp.Status, http.StatusOK)
				resp.Abort()
			}
		})
	}
}

// Guards against an own answer that is broken off at the bound of the answer before it.
func TestAnOwnAnswerBehindAnothersMayTakeItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		other string
		after time.Duration
	}{"named": {otherRefusal, 2 * time.Second}, "unnamed": {ok, 500 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				resp, err := second(t, write{text: c.other}, write{after: c.after, text: ownOK[:len(ownOK)-2]}, write{after: 2 * time.Second, text: "ok"})
				assert.NilError(t, err)
				body, err := resp.ReadAll(10)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "ok")
			})
		})
	}
}

// Guards against an answer to another request that holds a request until its deadline, since
// its body does not end.
func TestTheBodyOfAnothersAnswerIsNotAwaitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := second(t, write{text: otherRefusal[:len(otherRefusal)-2]})
		assert.Assert(t, errors.Is(err, conn.ErrForeignAnswer), "%v", err)
		assert.Assert(t, time.Since(began) <= 300*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against an upstream that names no request and holds each one until its deadline.
func TestAnOwnAnswerIsNotAwaitedForLongBehindOneThatNamesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := second(t, write{text: ok})
		assert.Assert(t, errors.Is(err, conn.ErrForeignAnswer), "%v", err)
		assert.Assert(t, time.Since(began) <= 1100*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against waiting for an own answer behind one that ends with its connection, or that
// says that the connection ends.
func TestNothingIsReadBehindAnAnswerThatEndsItsConnection(t *testing.T) {
	for name, text := range map[string]string{
		"no length": "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\n\r\nfull",
		"close":     "HTTP/1.1 503 X\r\nId: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				_, err := second(t, write{text: text})
				assert.Assert(t, errors.Is(err, conn.ErrForeignAnswer), "%v", err)
				assert.Equal(t, time.Since(began), time.Duration(0))
			})
		})
	}
}

// Guards against the body of an answer to another request that is read as the answer to a
// HEAD request, behind whose answers no body is expected.
func TestTheBodyOfAnothersAnswerIsNoAnswerToHEAD(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forged := "HTTP/1.1 503 X\r\nId: b\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		other := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", len(forged), forged)
		c := conn.New(conn.Config{Dialer: &pipes{serve: script([]write{{text: other}})}})
		r := named("b")
		r.Method, r.Body = http.MethodHead, nil
		_, err := c.Do(t.Context(), r)
		assert.Assert(t, errors.Is(err, conn.ErrForeignAnswer), "%v", err)
	})
}

// Guards against an answer that is refused since a header of it quotes a status line, where no
// other answer can have begun.
func TestAStatusLineInAHeaderIsNoOtherAnswerOnANewConnection(t *testing.T) {
	quoted := "HTTP/1.1 200 OK\r\nId: b\r\nOrigin-Status: HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	c := conn.New(conn.Config{Dialer: &pipes{serve: script([]write{{text: quoted}})}})
	resp, err := c.Do(t.Context(), named("b"))
	assert.NilError(t, err)
	resp.Abort()
	r := named("b")
	r.Owner = nil
	c = conn.New(conn.Config{Dialer: &pipes{serve: script([]write{{text: quoted}}, []write{{text: quoted}})}})
	for range 2 {
		resp, err := c.Do(t.Context(), r)
		assert.NilError(t, err)
		_, err = resp.ReadAll(10)
		assert.NilError(t, err)
	}
}
