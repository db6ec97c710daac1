package main

import (
	"fmt"
	"sync"
	"time"
)

// The case late-refusal: callers keep a plain service busy, so that its runners are full at
// times and turn requests away. One of them sends a few of its answers a second time, late. A
// second answer that says "not run" arrives where the answer to another request is expected,
// and names the request that it belongs to.
const (
	service       = "stock-api"
	routeHost     = "shop.example"
	routePrefix   = "/stock/"
	clients       = 36
	clientPause   = 40 * time.Millisecond
	requestBudget = time.Second
	// spellLength and spellPause are the length of each spell of trouble and of the calm time
	// after it.
	spellLength = 5 * time.Second
	spellPause  = 3 * time.Second
	spells      = 8
	// extraShare is the share of its answers that the runner sends twice.
	extraShare = 0.03
	// minAnswered is how many requests must have had an answer for the case to count.
	minAnswered = 1000
)

func lateRefusal(rec *record, dir string, withTrouble bool) (int, error) {
	p, err := startPlain(rec, dir, zones, 1)
	if err != nil {
		return noRun, err
	}
	defer p.d.stopAll()
	runners, d := p.runners, p.d
	var seen outcomes
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i := range clients {
		senders.Go(func() { sendOrders(newClient(rec), d.machines[i%len(d.machines)].front, &seen, stop) })
	}
	for range spells {
		if withTrouble {
			rec.note("trouble  %s sends %.2f of its answers twice for %v", runners[0].id, extraShare, spellLength)
			runners[0].setExtra(extraShare)
		}
		time.Sleep(spellLength)
		runners[0].setExtra(0)
		time.Sleep(spellPause)
	}
	close(stop)
	senders.Wait()
	time.Sleep(requestBudget) // what still runs, begins within this time
	for _, r := range runners {
		r.mu.Lock()
		rec.note("runner   %s turned %d away, sent %d answers twice, %d of them with X-Not-Executed", r.id, r.rejected, r.extraN, r.extraRej)
		r.mu.Unlock()
	}
	return judgeOnce(rec, seen.all)
}

// plainConfig is the operator's manifest: one route to the plain service, whose requests may
// run once.
func plainConfig() map[string]any {
	return map[string]any{"version": 7,
		"routes": []any{map[string]any{"name": "r-stock", "host": routeHost, "prefix": routePrefix, "kind": "non_idempotent",
			"timeout_ms": 1000, "target_latency_ms": 100, "priority": 2, "service": service, "attempts": 1, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// sendOrders sends one request after the other until stop is closed. Each is a new one.
func sendOrders(c *client, front string, seen *outcomes, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		seen.add(c.send(front, routeHost, routePrefix+"order", requestBudget))
	}
}

// judgeOnce checks the rules TWICE, REFUSED and MIXED for requests that may run once.
func judgeOnce(rec *record, all []outcome) (int, error) {
	answered, twice, refused, mixed := 0, 0, 0, 0
	for _, o := range all {
		runs := rec.runsOf(o.id)
		if o.status != 0 {
			answered++
		}
		if len(runs) > 1 {
			twice++
			rec.note("TWICE    %s ran at %v, its caller got %d", o.id, runs, o.status)
		}
		switch o.status {
		case 408, 421, 429, 503:
			if len(runs) > 0 {
				refused++
				rec.note("REFUSED  %s was answered %d and ran at %v", o.id, o.status, runs)
			}
		case 200:
			if !o.sealed || o.body != bodyOf(o.id) {
				mixed++
				rec.note("MIXED    %s got another answer", o.id)
			}
		}
	}
	rec.note("result   %d requests, %d answered; TWICE %d, REFUSED %d, MIXED %d", len(all), answered, twice, refused, mixed)
	fmt.Printf("%d requests, %d answered; TWICE %d, REFUSED %d, MIXED %d\n", len(all), answered, twice, refused, mixed)
	if answered < minAnswered {
		return noRun, fmt.Errorf("%d requests were answered, want %d", answered, minAnswered)
	}
	if twice+refused+mixed > 0 {
		return broken, nil
	}
	return held, nil
}
