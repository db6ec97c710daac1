package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engines of the small deployment of gfl-trims, as SYSTEM.md and its site file give them.
const (
	engineService  = "llm-desk"
	engineSlots    = 64
	engineModel    = "m0"
	loadTime       = 2400 * time.Millisecond
	diskLoadTime   = 1600 * time.Millisecond
	promptTokensMs = 20.4 // prompt tokens that are read in a millisecond
	streamEvents   = 11
	eventPause     = 25 * time.Millisecond
	// engineAway is for how long an engine that has crashed is away.
	engineAway = 3 * time.Second
	// entryTime is after how long the platform removes the entry of a silent runner: three
	// check-in intervals.
	entryTime = 3600 * time.Millisecond
	// fatalPartID is the part of a prompt that crashes each engine that begins to write an
	// answer on it.
	fatalPartID = "badbadba"
)

// engines is the engines of a deployment.
type engines struct {
	store *metadataStore
	rec   *record
	mu    sync.Mutex
	next  int
	// crashes are the times of the crashes by the fatal part.
	crashes []time.Time
	// fatal are the arrivals of requests with the fatal part.
	fatal []time.Time
	lost  int // sound requests that ran at an engine when it crashed
}

// engine is one lifetime of an engine.
type engine struct {
	all         *engines
	id, address string
	zone        string
	server      *http.Server
	onDisk      bool // it has held the model before

	mu       sync.Mutex
	holds    bool
	busy     bool
	sequence int
	running  map[string]bool // requests by id; true: sound
	crashed  bool
}

// startEngine starts an engine at an address. One that has run there before starts empty.
func (all *engines) startEngine(address, zone string, again bool) (*engine, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	all.mu.Lock()
	all.next++
	e := &engine{all: all, id: fmt.Sprintf("i-%08x", 0xe0000000+all.next), address: ln.Addr().String(), zone: zone, onDisk: again, holds: !again, running: map[string]bool{}}
	all.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(ln) }()
	e.announce()
	return e, nil
}

// models lists what the engine holds.
func (e *engine) modelsLocked() []any {
	if !e.holds {
		return []any{}
	}
	return []any{map[string]any{"name": engineModel, "version": 1, "adapters": []string{}}}
}

// announce writes the engine's entry.
func (e *engine) announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.all.store.put("servers", e.id, map[string]any{"service": engineService, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": e.modelsLocked(), "sequence": 1})
}

// misdirected answers a request that is meant for another runner.
func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("X-Expect-Instance")
	if expected == "" || expected == e.id {
		return false
	}
	w.Header().Set("X-Instance-Id", e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": e.modelsLocked(), "busy": e.busy, "sequence": e.sequence, "waiting": 0,
		"running": len(e.running), "kv_cache_used": 2000 * len(e.running), "kv_cache_total": 132340, "handles": 0, "coming": []string{}})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var o struct {
		Operation, Model, Holder string
		Fence                    uint64
		Expected                 *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Model != engineModel {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	want := o.Operation == "load"
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case e.holds == want:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.sequence++
	e.busy = true
	took := loadTime
	if e.onDisk || !want {
		took = diskLoadTime
	}
	e.all.rec.note("order    %s %s at %s by %s", o.Operation, o.Model, e.id, o.Holder)
	time.AfterFunc(took, func() {
		e.mu.Lock()
		e.busy, e.holds, e.onDisk = false, want, true
		e.mu.Unlock()
		e.announce()
	})
	w.WriteHeader(http.StatusAccepted)
}

// serve runs a request: it reads the prompt and writes the events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Attempt-Id")
	w.Header().Set("X-Request-Attempt-Id", id)
	fatal := strings.Contains(r.Header.Get("X-Prompt-Prefix"), fatalPartID+":")
	if e.misdirected(w, r) {
		return
	}
	if fatal {
		e.all.mu.Lock()
		e.all.fatal = append(e.all.fatal, time.Now())
		e.all.mu.Unlock()
		e.all.rec.note("fatal    %s reaches %s", id, e.id)
	}
	e.mu.Lock()
	model, _, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	if !e.holds || model != engineModel {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if len(e.running) >= engineSlots {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running[id] = !fatal
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	tokens, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	prompt, _ := strconv.Atoi(tokens)
	time.Sleep(time.Duration(float64(prompt) / promptTokensMs * float64(time.Millisecond)))
	e.all.rec.ran(id, e.id)
	if fatal {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Seal", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: from the start
	for i := last + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil || rc.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// crash ends the engine: its connections break, its address refuses new ones, and it is back
// some seconds later with another id.
func (e *engine) crash() {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	sound := 0
	for _, ok := range e.running {
		if ok {
			sound++
		}
	}
	e.mu.Unlock()
	e.all.mu.Lock()
	e.all.crashes = append(e.all.crashes, time.Now())
	e.all.lost += sound
	n := len(e.all.crashes)
	e.all.mu.Unlock()
	e.all.rec.note("crash    %s, the %d. by the fatal part; %d sound requests ran there", e.id, n, sound)
	_ = e.server.Close()
	time.AfterFunc(entryTime, func() { e.all.store.remove("servers", e.id) })
	time.AfterFunc(engineAway, func() {
		next, err := e.all.startEngine(e.address, e.zone, true)
		if err != nil {
			e.all.rec.note("could not start an engine at %s again: %v", e.address, err)
			return
		}
		e.all.rec.note("back     %s at the address of %s", next.id, e.id)
	})
}

// engineConfig is the operator's manifest: routes of streams to the engines, one of them resumable.
func engineConfig() map[string]any {
	return map[string]any{"version": 7,
		"routes": []any{
			map[string]any{"name": "r-quote", "host": routeHost, "prefix": "/quote/", "kind": "stream", "timeout_ms": 5000, "target_latency_ms": 1000,
				"priority": 1, "service": engineService, "attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 400},
			map[string]any{"name": "r-shade", "host": routeHost, "prefix": "/shade/", "kind": "stream", "timeout_ms": 8000, "target_latency_ms": 2500,
				"priority": 1, "service": engineService, "attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 400}},
		"services": []any{map[string]any{"name": engineService, "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": engineSlots, "kv_cache_tokens": 132340, "kv_token_bytes": 163840, "link_mbps": 88000.0, "moves": true, "backups": true,
				"stride": 2, "at_most": 12, "host_memory_mb": 150000.0, "disk_mb": 450000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []any{map[string]any{"name": engineModel, "mb": 72700.0, "load_time_s": 2.4, "adapters": 0, "adapter_mb": 66.0, "memory_load_s": 1.2, "disk_load_s": 1.6}},
				"mb":     230000.0, "adapter_slots": 5, "loads_per_s": 1.1}}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
