package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// maxReadRows is the largest number of rows that one read returns.
const maxReadRows = 500

// row is a row of the platform's store as PROTOCOL.md shows it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"schema_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// metadataStore imitates the platform's metadata store: atomic transactions under
// conditions, reads and a feed of changes. It is always available.
type metadataStore struct {
	mu      sync.Mutex
	began   time.Time
	version uint64
	rows    map[rowKey]row
	changes []row                // all changes in order
	changed chan struct{}        // closed at the next change
	wroteAt map[string]time.Time // when the system last wrote to a table
}

func newMetadataStore() *metadataStore {
	return &metadataStore{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), wroteAt: map[string]time.Time{}}
}

// put writes a row as the operator or an upstream does.
func (s *metadataStore) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are this program's own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyLocked(row{Table: table, Key: key, Value: data, Version: s.version})
	s.notifyLocked()
}

// sinceWrite returns the time since the system last wrote to a table.
func (s *metadataStore) sinceWrite(table string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.wroteAt[table])
}

// remove removes a row as the platform does.
func (s *metadataStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyLocked(row{Table: table, Key: key, Version: s.version, Tombstone: true})
	s.notifyLocked()
}

func (s *metadataStore) applyLocked(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.changes = append(s.changes, r)
}

func (s *metadataStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is the body of the store's answers.
type answer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"schema_version"`
	TimeMs    int64  `json:"current_time_ms"`
}

func (s *metadataStore) answerLocked(rows []row) answer {
	if rows == nil {
		rows = []row{}
	}
	return answer{Rows: rows, Version: s.version, TimeMs: time.Since(s.began).Milliseconds()}
}

// transaction is the body of a call that writes.
type transaction struct {
	Expected []row `json:"expected"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

func (s *metadataStore) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row(nil), t.Put...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	holds := true
	for _, x := range t.Expected {
		have, ok := s.rows[rowKey{x.Table, x.Part, x.Key}]
		if ok {
			current = append(current, have)
		}
		holds = holds && have.Version == x.Version
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, s.answerLocked(current))
		return
	}
	s.version++
	for _, x := range t.Put {
		x.Version = s.version
		s.applyLocked(x)
		s.wroteAt[x.Table] = time.Now()
	}
	for _, x := range t.Remove {
		x.Version, x.Tombstone, x.Value = s.version, true, nil
		s.applyLocked(x)
	}
	s.notifyLocked()
	writeJSON(w, http.StatusOK, s.answerLocked(nil))
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxReadRows {
		limit = maxReadRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	out := s.answerLocked(nil)
	if len(found) > limit {
		found, out.Truncated = found[:limit], true
	}
	if found != nil {
		out.Rows = found
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *metadataStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var found []row
		for _, x := range s.changes {
			if x.Version > after && x.Table == q.Get("table") {
				found = append(found, x)
			}
		}
		out, changed := s.answerLocked(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve serves the store at a loopback address until the process ends.
func (s *metadataStore) serve() (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return ln.Addr().String(), nil
}
