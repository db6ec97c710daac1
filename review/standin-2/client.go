package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int // 0: none
	header http.Header
	body   []byte
	whole  bool // the answer ended as its head says
	err    error
	took   time.Duration
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+lastID.Add(1)) }

// send sends one request on a new channel and reads its answer, until the time budget ends.
func send(h *host, method, target, id, headers string, body []byte, budget time.Duration) answer {
	began := time.Now()
	a := answer{id: id}
	nc, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer nc.Close()
	_ = nc.SetDeadline(began.Add(budget))
	length := ""
	if len(body) > 0 || method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	record.line("send %s to %s: %s %q, %d ms", id, h.name, method, target, budget.Milliseconds())
	_, err = fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Attempt-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\n%s%s\r\n%s",
		method, target, id, budget.Milliseconds(), headers, length, body)
	if err == nil {
		a.read(nc, method)
	} else {
		a.err = err
	}
	a.took = time.Since(began)
	record.line("answer %s: status %d, %d bytes, whole=%v, err=%v, %d ms", id, a.status, len(a.body), a.whole, a.err, a.took.Milliseconds())
	return a
}

func (a *answer) read(nc net.Conn, method string) {
	resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	a.whole = a.err == nil
}
