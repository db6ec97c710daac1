package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "turns": the process that acts for all is killed, and so is the one that takes the
// lease, while it has to wait until it may give orders; it is back at once. Then it is stopped
// with SIGTERM, and its successor is killed in the same way.
const (
	turnsLease  = 3 * time.Second // lease_ms
	turnsRounds = 12
	// turnsAdapter is for how long one adapter of 27 is asked for. Five fit into the engine, so
	// that each next one takes an order or two.
	turnsAdapter = 250 * time.Millisecond
	// turnsLimit is how long after the start no further round begins: a run lasts for 120 s at most.
	turnsLimit = 95 * time.Second
)

// leaseOf returns the host that took the lease last, by what it wrote in the store, and the
// version of that row.
func leaseOf(s *store, all []*host) (*host, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table != "lease" || strings.HasSuffix(r.Key, "/beat") {
			continue
		}
		_, value, ok := bytes.Cut(r.Value, []byte("\n"))
		var l struct{ Holder string }
		if !ok || json.Unmarshal(value, &l) != nil {
			continue
		}
		for _, h := range all {
			if strings.HasPrefix(l.Holder, h.name+" ") {
				return h, r.Version
			}
		}
	}
	return nil, 0
}

// kill kills a host's process.
func (h *host) kill(why string) {
	record.line("kill %s: %s", h.name, why)
	_ = h.cmd.Process.Kill()
	<-h.done
}

// lastHolder returns who gave the newest order that reached the engine, and when.
func (e *engine) lastHolder() (string, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) == 0 {
		return "", time.Time{}
	}
	o := e.orders[len(e.orders)-1]
	return o.holder, o.at
}

// awaitTaken waits until another host than from has taken the lease.
func awaitTaken(s *store, all []*host, from *host, version uint64) *host {
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if h, v := leaseOf(s, all); v > version && h != nil && h != from {
			return h
		}
	}
	return nil
}

// awaitOrderOf waits until the newest order is one of a host.
func awaitOrderOf(e *engine, h *host, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if holder, at := e.lastHolder(); holder == h.name && time.Since(at) < time.Second {
			return true
		}
	}
	return false
}

func turnsCase(trouble bool) {
	turns, again, whole, orders, rounds := 0, 0, 0, 0, 0
	for start := time.Now(); rounds < turnsRounds && time.Since(start) < turnsLimit; {
		rounds++
		record.line("round %d", rounds)
		e := turnsRound(trouble)
		t, a, w := countTurns(e.orders)
		turns, again, whole, orders = turns+t, again+a, whole+w, orders+len(e.orders)
		stopHosts()
	}
	if orders < 3*rounds {
		cannotRun("only %d orders", orders)
	}
	verdict(whole > 0, "%d rounds: %d orders to one runner at a time; %d times one came less than %v after one of another holder; %d times the first holder came to its turn again in that way, %d of these with all three orders within %v",
		rounds, orders, turns, turnsLease, again, whole, turnsLease)
}

// turnsRound plays the disruption once, with new processes.
func turnsRound(trouble bool) *engine {
	s := startStore()
	m := manifest(7, []string{"huvo11a"}, route("/lohu930/", "stream", 2, "huvo11a", map[string]any{"resumable": true, "target_gap_ms": 400, "target_latency_ms": 1000, "sticky": true}))
	m["services"].([]any)[0].(map[string]any)["engine"] = map[string]any{"slots": 64, "kv_cache_tokens": 132340, "stride": 2, "mb": 230000.0,
		"adapter_slots": 5, "loads_per_s": 1.1, "host_memory_mb": 150000.0, "disk_mb": 450000.0,
		"models": []any{map[string]any{"name": "m0", "mb": 72700.0, "load_time_s": 2.4, "adapters": 27, "adapter_mb": 66.0, "memory_load_s": 1.2, "disk_load_s": 1.6}}}
	s.write("op", "config", m)
	e := startEngine(s, "i-7f3a91c0", "huvo11a", zones[0], "m0", 5)
	all := startHosts(s, 3)
	began := time.Now()
	done := make(chan struct{})
	var callers sync.WaitGroup
	for k := range 24 {
		callers.Go(func() {
			for i := k; ; i += 24 {
				select {
				case <-done:
					return
				default:
				}
				headers := fmt.Sprintf("X-Model: m0/a%d\r\nX-Token-Counts: 100,4\r\nX-Prompt-Prefix: 5c1e07a2:50,%016x:50\r\n", 1+int(time.Since(began)/turnsAdapter)%27, i)
				send(all[i%len(all)], http.MethodPost, "/lohu930/2f", newID(), headers, []byte("prompt"), time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		turnsTrouble(s, e, all)
	} else {
		time.Sleep(4 * time.Second)
	}
	close(done)
	callers.Wait()
	return e
}

// turnsTrouble is the disruption.
func turnsTrouble(s *store, e *engine, all []*host) {
	first, version := leaseOf(s, all)
	if first == nil || !awaitOrderOf(e, first, 3*time.Second) {
		record.line("no order of the first holder")
		return
	}
	first.kill("it acts for all")
	second := awaitTaken(s, all, first, version)
	if second == nil {
		record.line("nobody has taken the lease")
		first.start()
		return
	}
	second.kill("it has taken the lease")
	second.start()
	first.start()
	if !awaitOrderOf(e, second, 3*time.Second) {
		record.line("no order of %s", second.name)
		return
	}
	_, version = leaseOf(s, all)
	record.line("SIGTERM %s: it acts for all", second.name)
	second.signal(syscall.SIGTERM)
	third := awaitTaken(s, all, second, version)
	if third == nil {
		record.line("nobody has taken the lease")
		return
	}
	third.kill("it has taken the lease")
	third.start()
	awaitOrderOf(e, third, 3*time.Second)
	time.Sleep(300 * time.Millisecond)
}

// countTurns counts the orders that came less than lease_ms after one of another holder, how
// often a holder came to its turn again in that way, and how often within lease_ms of its own
// last order.
func countTurns(orders []givenOrder) (turns, again, whole int) {
	last := map[string]time.Time{}
	turned := false
	for i := range orders {
		o := &orders[i]
		if i > 0 && o.holder != orders[i-1].holder {
			before := &orders[i-1]
			gap := o.at.Sub(before.at)
			short := gap < turnsLease
			record.line("orders of %s (fence %d) follow those of %s (fence %d) after %d ms", o.holder, o.fence, before.holder, before.fence, gap.Milliseconds())
			if short {
				turns++
			}
			if at, was := last[o.holder]; short && turned && was {
				again++
				record.line("broken: %s comes to its turn again, %d ms after its own last order", o.holder, o.at.Sub(at).Milliseconds())
				if o.at.Sub(at) < turnsLease {
					whole++
				}
			}
			turned = short
		}
		last[o.holder] = o.at
	}
	return turns, again, whole
}
