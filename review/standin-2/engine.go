package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// givenOrder is an order that reached an engine.
type givenOrder struct {
	at     time.Time
	holder string
	fence  uint64
	what   string
}

// engine is a stand-in for a runner that holds one model and loads adapters of it.
type engine struct {
	id, service, zone, address, model string
	slots                             int // for adapters
	store                             *store

	mu       sync.Mutex
	adapters []string
	sequence int
	orders   []givenOrder
}

func startEngine(s *store, id, service, zone, model string, slots int) *engine {
	ln := listen()
	e := &engine{id: id, service: service, zone: zone, address: ln.Addr().String(), model: model, slots: slots, store: s}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(nc)
		}
	}()
	e.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.beat()
		}
	}()
	return e
}

// modelsLocked is what the engine holds, as lists and reports have it.
func (e *engine) modelsLocked() []any {
	return []any{map[string]any{"name": e.model, "version": 1, "adapters": append([]string{}, e.adapters...)}}
}

func (e *engine) beat() {
	e.mu.Lock()
	v := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": e.modelsLocked(), "sequence": time.Now().UnixMilli()}
	e.mu.Unlock()
	e.store.write("servers", e.id, v)
}

func (e *engine) serve(nc net.Conn) {
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
		w := work{runner: e.id, id: req.Header.Get("X-Request-Attempt-Id")}
		switch expected := req.Header.Get("X-Expect-Instance"); {
		case expected != "" && expected != e.id:
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
		case req.URL.Path == "/-/report":
			e.mu.Lock()
			b, _ := json.Marshal(map[string]any{"stage": "both", "models": e.modelsLocked(), "busy": false, "sequence": e.sequence, "waiting": 0,
				"running": 0, "kv_cache_used": 0, "kv_cache_total": 132340, "handles": 0})
			e.mu.Unlock()
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		case req.URL.Path == "/-/order":
			fmt.Fprintf(nc, "HTTP/1.1 %d Order\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.order(body), e.id)
		case !e.holds(req.Header.Get("X-Model")):
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id, e.id)
		default:
			time.Sleep(15 * time.Millisecond)
			events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			fmt.Fprintf(nc, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", headOf(w, http.StatusOK, "OK"), len(events), events)
		}
	}
}

func (e *engine) holds(model string) bool {
	name, adapter, _ := strings.Cut(model, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	return name == e.model && (adapter == "" || slices.Contains(e.adapters, adapter))
}

// order carries out an order for an adapter, and returns its status.
func (e *engine) order(body []byte) int {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int
		Fence                             uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	what := o.Operation + " " + o.Model + " " + o.Adapter
	e.orders = append(e.orders, givenOrder{time.Now(), o.Holder, o.Fence, what})
	record.line("order at %s: %s, holder %s, fence %d", e.id, what, o.Holder, o.Fence)
	has := slices.Contains(e.adapters, o.Adapter)
	switch {
	case o.Expected != nil && *o.Expected != e.sequence, o.Adapter == "", o.Model != e.model:
		return http.StatusConflict
	case o.Operation == "load" && has:
		return http.StatusOK
	case o.Operation == "load" && len(e.adapters) >= e.slots:
		return http.StatusConflict
	case o.Operation == "load":
		e.adapters = append(e.adapters, o.Adapter)
		e.sequence++
		return http.StatusAccepted
	}
	e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == o.Adapter })
	e.sequence++
	return http.StatusOK
}
