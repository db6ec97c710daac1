package conn_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/conn"
)

// malformedHeads are answers whose heads are none of HTTP/1.1, by what is wrong with them.
var malformedHeads = map[string]string{
	"status 000":                      "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
	"status 000, an answer as body":   "HTTP/1.1 000 X\r\nContent-Length: 40\r\n\r\n" + ok,
	"status 099":                      "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",
	"a signed status":                 "HTTP/1.1 +20 X\r\nContent-Length: 2\r\n\r\nok",
	"a status of four digits":         "HTTP/1.1 2000 X\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                      "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                      "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok",
	"another protocol":                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
	"version 3.7":                     "HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version 0.9":                     "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a control byte in the reason":    "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
	"a blank inside a name":           "HTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 2\r\n\r\nok",
	"a blank after a name":            "HTTP/1.1 200 OK\r\nA : 1\r\nContent-Length: 2\r\n\r\nok",
	"a blank after a length's name":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"a blank after a coding's name":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a tab inside a name":             "HTTP/1.1 200 OK\r\nA\tB: 1\r\nContent-Length: 2\r\n\r\nok",
	"a control byte inside a name":    "HTTP/1.1 200 OK\r\nA\x01: 1\r\nContent-Length: 2\r\n\r\nok",
	"a zero byte inside a name":       "HTTP/1.1 200 OK\r\nA\x00: 1\r\nContent-Length: 2\r\n\r\nok",
	"a delete byte inside a name":     "HTTP/1.1 200 OK\r\nA\x7f: 1\r\nContent-Length: 2\r\n\r\nok",
	"a byte beyond ASCII in a name":   "HTTP/1.1 200 OK\r\nA\xe9: 1\r\nContent-Length: 2\r\n\r\nok",
	"no name":                         "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                        "HTTP/1.1 200 OK\r\nA\r\nContent-Length: 2\r\n\r\nok",
	"a blank before the first name":   "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nok",
	"a line that continues another":   "HTTP/1.1 200 OK\r\nA: 1\r\n Content-Length: 2\r\n\r\nok",
	"a zero byte in a value":          "HTTP/1.1 200 OK\r\nA: \x00\r\nContent-Length: 2\r\n\r\nok",
	"a carriage return in a value":    "HTTP/1.1 200 OK\r\nContent-Length: 2\rA: 1\r\n\r\nok",
	"two lengths":                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"a signed length":                 "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"a length beside chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks of HTTP/1.0":              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a malformed interim head before": "HTTP/1.1 103 Early Hints\r\nA B: 1\r\n\r\n" + ok,
}

// Guards against bytes that are no HTTP answer and are taken for one, for an interim answer, or
// for the head of a body that ends elsewhere: on new and on kept connections, in one piece and
// byte by byte, behind interim answers.
func TestAMalformedHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, text := range malformedHeads {
		for way, c := range map[string]struct {
			before    string
			exchanges int // of ordinary answers before, on the same connection
			piece     int // size in which the answer comes; 0: whole
		}{
			"new":      {},
			"kept":     {exchanges: 2},
			"interim":  {before: "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n"},
			"bytewise": {piece: 1},
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
					for range c.exchanges {
						if _, err := http.ReadRequest(r); err == nil {
							_, _ = io.WriteString(nc, ok)
						}
					}
					_, _ = http.ReadRequest(r)
					if writePieces(nc, c.before+text, c.piece); readsEnd(nc) {
						close(ended)
					}
				})
				client := conn.New(conn.Config{Dialer: conn.NewDialer()})
				for range c.exchanges {
					(&returnForm{}).exchange(t, client, address)
				}
				resp, err := client.Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
				assert.Assert(t, errors.Is(err, conn.ErrMalformedHead), "%+v, %v", resp, err)
				assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.Unknown)
				select {
				case <-ended:
				case <-time.After(5 * time.Second):
					t.Fatal("the connection stays open")
				}
			})
		}
	}
}

// writePieces writes text in pieces of a size, or in one piece if it is 0, until a write fails.
func writePieces(nc net.Conn, text string, size int) {
	if size == 0 {
		size = len(text)
	}
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(nc, text[:n]); err != nil {
			return
		}
		if text = text[n:]; text != "" {
			time.Sleep(100 * time.Microsecond) // a segment of its own
		}
	}
}

// readsEnd reports whether the other side ends the connection.
func readsEnd(nc net.Conn) bool {
	_ = nc.SetReadDeadline(time.Now().Add(4 * time.Second))
	_, err := io.Copy(io.Discard, nc)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Guards against a head that waits for its end, though a line of it shows already that it is none.
func TestAMalformedLineIsNotReadOn(t *testing.T) {
	t.Parallel()
	address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nno field\r\n")
		_ = readsEnd(nc)
	})
	began := time.Now()
	_, err := conn.New(conn.Config{Dialer: conn.NewDialer()}).Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
	assert.Assert(t, errors.Is(err, conn.ErrMalformedHead), "%v", err)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against sound heads that are refused, or whose bodies are cut, because they do not fit
// into the buffer of a connection.
func TestALargeHeadIsRead(t *testing.T) {
	t.Parallel()
	for _, length := range []int{0, 1 << 10, 2<<10 - 40, 2<<10 - 30, 2 << 10, 10 << 10, 60 << 10} {
		field := strings.Repeat("v", length)
		for _, piece := range []int{0, 301} {
			address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					writePieces(nc, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nLong: "+field+"\r\nContent-Length: 2\r\n\r\nok", piece)
				}
			})
			c := conn.New(conn.Config{Dialer: conn.NewDialer()})
			for range 2 {
				resp, err := c.Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
				assert.NilError(t, err)
				assert.Equal(t, resp.Header.Get("Long"), field)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "ok")
				resp.Finish()
			}
		}
	}
}

// Guards against a body in chunks that counts as whole though what follows it are no trailers.
func TestMalformedTrailersEndNoBody(t *testing.T) {
	t.Parallel()
	for _, trailer := range []string{"A B: 1\r\n", "A : 1\r\n", "A\x01: 1\r\n", ": 1\r\n", "A\r\n"} {
		address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n")
			_ = readsEnd(nc)
		})
		resp, err := conn.New(conn.Config{Dialer: conn.NewDialer()}).Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: "/", Header: http.Header{}})
		assert.NilError(t, err)
		_, err = resp.ReadAll(16)
		assert.Assert(t, err != nil, "%q", trailer)
	}
}
