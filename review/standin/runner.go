package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The plain service of a small deployment: 6 slots, as SYSTEM.md gives it, and a few more that
// wait. The work is that of feed-order in demands/LATER.md.
const (
	runnerSlots = 6
	runnerQueue = 3
	workMean    = 60 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// runner imitates a runner of a plain service. It writes its answers itself, so that it can
// send one a second time.
type runner struct {
	id, zone, address string
	rec               *record

	mu       sync.Mutex
	running  int
	waiting  int
	extra    float64 // share of its answers that it sends a second time, late
	rejected int     // answers that said that the request was not run
	extraN   int     // answers that were sent a second time
	extraRej int     // those of them that said that the request was not run
	slots    chan struct{}
}

func newRunner(id, zone string, rec *record) (*runner, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, zone: zone, address: ln.Addr().String(), rec: rec, slots: make(chan struct{}, runnerSlots)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// setExtra sets the share of its answers that the runner sends a second time, late.
func (r *runner) setExtra(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra = share
}

func (r *runner) entry(service string) map[string]any {
	return map[string]any{"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": runnerSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1}
}

// reply is one answer of a runner.
type reply struct {
	status int
	header string
	body   string
	notRun bool
}

// write writes the answer to a request with an id.
func (a reply) write(w io.Writer, id string) error {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", a.status, http.StatusText(a.status), id, a.header, len(a.body))
	_, err := io.WriteString(w, head+a.body)
	return err
}

// extraAnswer is an answer that is sent a second time, where the next one is expected.
type extraAnswer struct {
	reply
	id string
}

// serve serves one connection, one request at a time.
func (r *runner) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var extra *extraAnswer
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-Attempt-Id")
		if extra != nil { // late: at the point where the next answer is expected
			r.rec.note("extra    answer %d to %s from %s, after %s has arrived", extra.status, extra.id, r.id, id)
			if extra.write(c, extra.id) != nil {
				return
			}
			extra = nil
		}
		a := r.answer(req, id)
		if a.write(c, id) != nil {
			return
		}
		if id != "" && r.repeats(a) {
			extra = &extraAnswer{a, id}
		}
	}
}

// repeats draws whether an answer is sent a second time.
func (r *runner) repeats(a reply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rand.Float64() >= r.extra {
		return false
	}
	r.extraN++
	if a.notRun {
		r.extraRej++
	}
	return true
}

// answer runs a request or turns it away.
func (r *runner) answer(req *http.Request, id string) reply {
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		return reply{status: http.StatusMisdirectedRequest, header: "X-Instance-Id: " + r.id + "\r\n", notRun: true}
	}
	if req.URL.Path == "/health" {
		return reply{status: http.StatusOK, header: "X-Instance-Id: " + r.id + "\r\n" + r.load()}
	}
	if id == "" {
		return reply{status: http.StatusBadRequest, header: "X-Not-Executed: 1\r\n", notRun: true}
	}
	if !r.admit() {
		r.rec.note("rejected %s by %s", id, r.id)
		return reply{status: http.StatusServiceUnavailable, header: "X-Not-Executed: 1\r\n" + r.load(), notRun: true}
	}
	r.slots <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.running++
	r.mu.Unlock()
	r.rec.ran(id, r.id)
	time.Sleep(workMean/2 + time.Duration(rand.Int64N(int64(workMean))))
	<-r.slots
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	return reply{status: http.StatusOK, header: "X-Server-Seal: " + r.id + "." + id + "\r\n" + r.load(), body: bodyOf(id)}
}

// admit reports whether the runner has room for a request.
func (r *runner) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running+r.waiting >= runnerSlots+runnerQueue {
		r.rejected++
		return false
	}
	r.waiting++
	return true
}

// load is the header by which a runner tells its load.
func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("X-Server-Load: %d,%d,%d\r\n", r.running, r.waiting, runnerSlots)
}

// bodyOf returns the whole body of the answer to a request.
func bodyOf(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }
