package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// work is a request that a runner got, as it got it.
type work struct {
	at     time.Time
	runner string
	id     string
	method string
	target string
	header http.Header
	body   []byte
}

// reply writes the answer to a request that a runner runs, and reports whether the channel is
// kept.
type reply func(nc net.Conn, w work) bool

// runner is a stand-in for a runner of a plain service. It runs what it gets.
type runner struct {
	id, service, zone, address string
	reply                      reply
	store                      *store

	mu   sync.Mutex
	runs []work
	n    int
}

func startRunner(s *store, id, service, zone string, r reply) *runner {
	ln := listen()
	u := &runner{id: id, service: service, zone: zone, address: ln.Addr().String(), reply: r, store: s}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(nc)
		}
	}()
	u.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			u.beat()
		}
	}()
	return u
}

func (u *runner) beat() {
	u.mu.Lock()
	u.n++
	n := u.n
	u.mu.Unlock()
	u.store.write("servers", u.id, map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": n})
}

func (u *runner) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		w := work{at: time.Now(), runner: u.id, id: req.Header.Get("X-Request-Attempt-Id"), method: req.Method, target: req.RequestURI, header: req.Header, body: body}
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		if w.id == "" {
			fmt.Fprintf(nc, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		u.mu.Lock()
		u.runs = append(u.runs, w)
		u.mu.Unlock()
		record.line("run %s at %s: %s %q body of %d bytes", w.id, u.id, w.method, w.target, len(body))
		if !u.reply(nc, w) {
			return
		}
	}
}

// runsOf returns the runs of a request, at all runners.
func runsOf(all []*runner, id string) (out []work) {
	for _, u := range all {
		u.mu.Lock()
		for _, w := range u.runs {
			if w.id == id {
				out = append(out, w)
			}
		}
		u.mu.Unlock()
	}
	return out
}

// seal is the receipt of an answer.
func seal(w work) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, w.runner+w.id)
	return strconv.FormatUint(h.Sum64(), 16)
}

// headOf is the head of an answer of a runner, without its last line.
func headOf(w work, status int, text string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: 1,0,64\r\n", status, text, w.id, seal(w))
}

// plainAnswer is a success with a body.
func plainAnswer(size int) reply {
	return func(nc net.Conn, w work) bool {
		var b bytes.Buffer
		fmt.Fprintf(&b, "%sContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n", headOf(w, 200, "OK"), size)
		b.Write(bytes.Repeat([]byte("x"), size))
		_, err := nc.Write(b.Bytes())
		return err == nil
	}
}
