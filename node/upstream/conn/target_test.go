package conn_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/conn"
)

// Guards against an upstream that gets another target than was asked for: whatever bytes may
// stand in one are written as they are, with short and with long bodies.
func TestATargetIsWrittenAsItIs(t *testing.T) {
	lines := make(chan string, 1)
	address := serveRaw(t, func(_ int, nc net.Conn, r *bufio.Reader) {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		lines <- line
		if _, err := http.ReadRequest(bufio.NewReader(&joined{"POST / HTTP/1.1\r\n", r})); err == nil {
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	rapid.Check(t, func(rt *rapid.T) {
		target := rapid.StringOfN(rapid.RuneFrom([]rune("/%2Fa?&=|\"<>:;@*#\u00e9\\^`{}~")), 1, 20, -1).Draw(rt, "target")
		if rapid.Bool().Draw(rt, "two slashes") {
			target = "//" + target
		}
		size := rapid.SampledFrom([]int{0, 10, 100 << 10}).Draw(rt, "body")
		resp, err := client.Do(t.Context(), &conn.Request{Address: address, Method: "POST", Target: target, Header: http.Header{}, Body: make([]byte, size)})
		assert.NilError(rt, err)
		resp.Finish()
		assert.Equal(rt, <-lines, "POST "+target+" HTTP/1.1\r\n")
	})
}

// joined reads a text, then from r.
type joined struct {
	text string
	r    *bufio.Reader
}

// Read implements io.Reader.
func (j *joined) Read(p []byte) (int, error) {
	if j.text == "" {
		return j.r.Read(p)
	}
	n := copy(p, j.text)
	j.text = j.text[n:]
	return n, nil
}

// Guards against a target that ends the request line, and makes a request of what follows.
func TestATargetWithBlanksIsNotSent(t *testing.T) {
	client := conn.New(conn.Config{Dialer: conn.NewDialer()})
	for _, bad := range []string{" ", "\r\n", "\t", "\x00", "\x7f"} {
		for _, size := range []int{0, 100 << 10} {
			_, err := client.Do(t.Context(), &conn.Request{Address: "127.0.0.1:1", Method: "POST", Target: "/a" + bad + "b", Header: http.Header{}, Body: []byte(strings.Repeat("x", size))})
			assert.Assert(t, errors.Is(err, conn.ErrInvalidTarget), "%v", err)
			assert.Equal(t, fault.From(fault.StepDispatch, err).Outcome, outcome.NotRun)
		}
	}
}
