package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

// ReportOnlyUpstreams are upstreams that only serve reports: they put the load of a
// large fleet on the control path without its engines.
type ReportOnlyUpstreams struct {
	startedAt time.Time
	list      []*ReportOnlyUpstream
	byAddress map[string]*ReportOnlyUpstream
}

// ReportOnlyUpstream is an upstream that only serves its report.
type ReportOnlyUpstream struct {
	Name          string
	ln            net.Listener
	server        *http.Server
	mu            sync.Mutex
	report        engineapi.Report
	draining      atomic.Bool
	reportsServed atomic.Int64
}

// StartReportOnlyUpstreams starts n upstreams on loopback. The function residents
// returns the resident models of the upstream with index i.
func StartReportOnlyUpstreams(n int, residents func(i int) []engineapi.Resident) (*ReportOnlyUpstreams, error) {
	s := &ReportOnlyUpstreams{startedAt: time.Now(), byAddress: map[string]*ReportOnlyUpstream{}}
	for i := range n {
		ln, err := net.Listen("tcp", AnyPort)
		if err != nil {
			s.Close()
			return nil, err
		}
		u := &ReportOnlyUpstream{Name: fmt.Sprintf("up-%04d", i), ln: ln}
		u.report = engineapi.Report{Upstream: u.Name, Incarnation: u.Name + "-1", Role: "serve", MaxBatch: 16, MemoryMB: 80_000,
			Residents: residents(i)}
		for _, r := range u.report.Residents {
			u.report.UsedMB += r.MemoryMB
		}
		mux := http.NewServeMux()
		u.report.Digest = engineapi.ResidentsDigest(u.report.Residents)
		mux.HandleFunc("GET "+engineapi.PathReport, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, u) })
		mux.HandleFunc("GET "+engineapi.PathEvents, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("[]")) })
		u.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
		go func() { _ = u.server.Serve(ln) }() // ends with Close
		s.list = append(s.list, u)
		s.byAddress[ln.Addr().String()] = u
	}
	return s, nil
}

func (s *ReportOnlyUpstreams) serve(w http.ResponseWriter, r *http.Request, u *ReportOnlyUpstream) {
	u.reportsServed.Add(1)
	u.mu.Lock()
	u.report.Sequence++
	u.report.TakenMs = time.Since(s.startedAt).Milliseconds()
	u.report.Draining = u.draining.Load()
	data, err := json.Marshal(u.report.Compact(r.URL.Query().Get(engineapi.ParamResidents)))
	u.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // fails if the node has hung up
}

// ReportsServed returns the number of reports that all upstreams have served so far.
func (s *ReportOnlyUpstreams) ReportsServed() int64 {
	var n int64
	for _, u := range s.list {
		n += u.reportsServed.Load()
	}
	return n
}

// Close stops all upstreams.
func (s *ReportOnlyUpstreams) Close() {
	for _, u := range s.list {
		_ = u.server.Shutdown(context.Background())
	}
}
