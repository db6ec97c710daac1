package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "failure": one of three runners of a plain service runs its requests, fails two in
// five of them, and says so with 503, without X-Not-Executed.
const (
	failureBudget  = 1500 * time.Millisecond
	failureBytes   = 1200 << 10 // of a long failure: a page with a dump
	failureCalls   = 240
	failureClients = 12
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
	var mu sync.Mutex
	broken, doubled, short := 0, 0, 0
	var clients sync.WaitGroup
	for c := range failureClients {
		clients.Go(func() {
			for i := c; i < failureCalls; i += failureClients {
				runs, refused, failed := sendOrder(all, runners, i)
				mu.Lock()
				broken, short = broken+refused, short+failed
				if runs > 1 {
					doubled++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if n := len(runners[0].runs); n < failureCalls/10 {
		cannotRun("the runner in trouble got %d requests", n)
	}
	verdict(broken > 0, "%d requests were answered 503 though they had run, %d orders ran twice; %d failures with a short body were answered 502", broken, doubled, short)
}

// sendOrder sends an order, and once more only after a promise that it has not run, as clients
// do. It returns how often the order ran, how often it was answered 503 or 429 and has run, and
// how often 502.
func sendOrder(all []*host, runners []*runner, i int) (runs, refused, failed int) {
	order := fmt.Sprintf("order %d", i)
	for try := range 2 {
		a := send(all[(i+try)%len(all)], http.MethodPost, "/puxa403/2f", newID(), "", []byte(order), failureBudget)
		ran := len(runsOf(runners, a.id))
		runs += ran
		if a.status == http.StatusBadGateway && ran > 0 {
			failed++
		}
		if !a.whole || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			break
		}
		if ran > 0 {
			refused++
			record.line("broken: %s was answered %d, and has run", a.id, a.status)
		}
	}
	if runs > 1 {
		record.line("%q has run %d times", order, runs)
	}
	return runs, refused, failed
}
