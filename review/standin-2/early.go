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

// The case "early": runners answer a long request before they have read all of its body, keep
// the channel and read on.
const (
	earlyBytes  = 3 << 20 // of a body; the manifest's body_bytes is 4 MiB
	earlyRead   = 64 << 10
	earlyBudget = 5 * time.Second
)

// earlyRunner answers once it has read earlyRead bytes of a body, or all of it, and notes
// what it has got in the end.
type earlyRunner struct {
	id    string
	early bool
	mu    *sync.Mutex
	got   map[string][]byte // by attempt
	ended map[string]error
}

func (u *earlyRunner) serve(nc net.Conn) {
	defer nc.Close()
	_ = nc.(*net.TCPConn).SetReadBuffer(64 << 10)
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		w := work{runner: u.id, id: req.Header.Get("X-Request-Attempt-Id")}
		if w.id == "" || req.Header.Get("X-Expect-Instance") != u.id {
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			return
		}
		var body bytes.Buffer
		first := req.ContentLength
		if u.early {
			first = earlyRead
		}
		_, err = io.CopyN(&body, req.Body, first)
		record.line("runner %s runs %s, has read %d of %d bytes, and answers 200", u.id, w.id, body.Len(), req.ContentLength)
		if err == nil {
			_, err = fmt.Fprintf(nc, "%sContent-Length: 4\r\n\r\ndone", headOf(w, http.StatusOK, "OK"))
		}
		if u.early && err == nil {
			time.Sleep(200 * time.Millisecond) // it reads on later
			_, err = io.Copy(&body, req.Body)
		}
		record.line("runner %s has got %d of %d bytes of %s: %v", u.id, body.Len(), req.ContentLength, w.id, err)
		u.mu.Lock()
		u.got[w.id], u.ended[w.id] = body.Bytes(), err
		u.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func sum(b []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return strconv.FormatUint(h.Sum64(), 16)
}

func earlyCase(trouble bool) {
	s := startStore()
	s.write("op", "config", manifest(7, []string{"wuno96b"}, route("/puxa403/", "non_idempotent", 1, "wuno96b", nil)))
	var mu sync.Mutex
	got, ended := map[string][]byte{}, map[string]error{}
	for i, z := range zones {
		u := &earlyRunner{id: fmt.Sprintf("i-7f3a91c%d", i), early: trouble, mu: &mu, got: got, ended: ended}
		ln := listen()
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go u.serve(nc)
			}
		}()
		beat := func(n int) {
			s.write("servers", u.id, map[string]any{"service": "wuno96b", "address": ln.Addr().String(), "zone": z, "version": "v1", "slots": 64,
				"state": "ready", "cold_remaining_ms": 0, "sequence": n})
		}
		beat(0)
		go func() {
			for n := 1; ; n++ {
				time.Sleep(1200 * time.Millisecond)
				beat(n)
			}
		}()
	}
	all := startHosts(s, 3)
	served, changed := 0, 0
	for i := range 12 {
		body := bytes.Repeat([]byte(fmt.Sprintf("line of order %6d\n", i)), earlyBytes/21)
		a := send(all[i%len(all)], http.MethodPost, "/puxa403/2f", newID(), "", body, earlyBudget)
		if a.status != http.StatusOK || !a.whole {
			continue
		}
		served++
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			mu.Lock()
			b, ok := got[a.id]
			mu.Unlock()
			if !ok {
				continue
			}
			if !bytes.Equal(b, body) {
				changed++
				record.line("broken: %s was sent with %d bytes (%s), answered 200 and run with %d bytes (%s): %v", a.id, len(body), sum(body), len(b), sum(b), ended[a.id])
			}
			break
		}
	}
	if served == 0 {
		cannotRun("no request was served")
	}
	verdict(changed > 0, "%d of %d requests that were answered 200 were run with a part of their body", changed, served)
}
