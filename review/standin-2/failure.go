package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The case "failure": one of three runners of a plain service runs its requests, fails two in
// five of them, and says so with 503, without X-Not-Executed.
const (
	failureBudget = 1500 * time.Millisecond
	failureBytes  = 1200 << 10 // of a long failure: a page with a dump
	failureCalls  = 120
)

// failing is the answer of the runner in trouble.
func failing(trouble bool) reply {
	var n atomic.Int64
	return func(nc net.Conn, w work) bool {
		i := n.Add(1)
		if !trouble || i%5 != 1 && i%5 != 3 {
			return plainAnswer(800)(nc, w)
		}
		size := 512
		if i%5 == 1 {
			size = failureBytes
		}
		record.line("runner %s has run %s and fails it: 503 without X-Not-Executed, %d bytes", w.runner, w.id, size)
		var b bytes.Buffer
		fmt.Fprintf(&b, "%sContent-Type: text/html\r\nContent-Length: %d\r\n\r\n%s", headOf(w, 503, "Service Unavailable"), size, strings.Repeat("x", size))
		_, err := nc.Write(b.Bytes())
		return err == nil
	}
}

func failureCase(trouble bool) {
	s := startStore()
	s.write("op", "config", manifest(7, []string{"wuno96b"}, route("/puxa403/", "non_idempotent", 1, "wuno96b", nil)))
	var runners []*runner
	for i, z := range zones {
		answers := plainAnswer(800)
		if i == 0 {
			answers = failing(trouble)
		}
		runners = append(runners, startRunner(s, fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", z, answers))
	}
	all := startHosts(s, 3)
	broken, doubled, short := 0, 0, 0
	for i := range failureCalls {
		order := fmt.Sprintf("order %d", i)
		runs := 0
		// A client sends a request that may run once again only after a promise.
		for try := range 2 {
			a := send(all[(i+try)%len(all)], http.MethodPost, "/puxa403/2f", newID(), "", []byte(order), failureBudget)
			ran := len(runsOf(runners, a.id))
			runs += ran
			promise := a.whole && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
			if a.status == http.StatusBadGateway && ran > 0 {
				short++
			}
			if !promise {
				break
			}
			if ran > 0 {
				broken++
				record.line("broken: %s was answered %d, and has run", a.id, a.status)
			}
		}
		if runs > 1 {
			doubled++
			record.line("%q has run %d times", order, runs)
		}
		time.Sleep(10 * time.Millisecond)
	}
	verdict(broken > 0, "%d requests were answered 503 though they had run, %d orders ran twice; %d failures with a short body were answered 502", broken, doubled, short)
}
