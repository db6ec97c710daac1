package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md has it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"schema_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a small stand-in for the platform's store: rows, transactions and feeds.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	history []row
	version uint64
	changed chan struct{}
}

func rowID(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func startStore() *store {
	s := &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	ln := listen()
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return ln
}

// putLocked writes rows as one transaction.
func (s *store) putLocked(put []row) {
	s.version++
	for _, r := range put {
		r.Version = s.version
		if r.Tombstone {
			delete(s.rows, rowID(r))
		} else {
			s.rows[rowID(r)] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a row as the operator or a runner does.
func (s *store) write(table, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked([]row{{Table: table, Key: key, Value: b}})
}

// clear removes the rows of a table.
func (s *store) clear(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []row
	for _, r := range s.rows {
		if r.Table == table {
			gone = append(gone, row{Table: r.Table, Part: r.Part, Key: r.Key, Tombstone: true})
		}
	}
	if len(gone) > 0 {
		s.putLocked(gone)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "schema_version": s.version,
		"current_time_ms": time.Since(s.began).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Put, Remove []row }
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[rowID(e)].Version != e.Version {
			var current []row
			for _, e := range tx.Expected {
				if r, ok := s.rows[rowID(e)]; ok {
					current = append(current, r)
				}
			}
			s.answer(w, http.StatusPreconditionFailed, current, false)
			return
		}
	}
	put := tx.Put
	for _, e := range tx.Remove {
		e.Tombstone, e.Value = true, nil
		put = append(put, e)
	}
	s.putLocked(put)
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	truncated := len(out) > limit
	s.answer(w, http.StatusOK, out[:min(limit, len(out))], truncated)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				out = append(out, x)
			}
		}
		changed := s.changed
		if len(out) > 0 {
			s.answer(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
