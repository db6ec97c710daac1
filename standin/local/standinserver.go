package local

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/standin/load"
	fake "peridotpier.example/standin/platform"
	"peridotpier.example/standin/site"
)

// StandInServer runs all of a site except its entry hosts, for hosts that run as
// separate processes: the platform's services over HTTP, the upstreams, and a folder
// with the settings and keys that the hosts need to start.
type StandInServer struct {
	*StandIns
	Layout Layout

	site          *site.Site
	server        *http.Server
	stop          context.CancelFunc
	watchersDone  chan struct{}
	truthRequests chan chan site.GroundTruth // each receives one answer
}

// StandInServerOptions are the options of StartStandInServer.
type StandInServerOptions struct {
	Site   *site.Site
	Seed   uint64
	Hosts  int    // number of entry hosts to write settings for; 0: that of the site
	Listen string // address of the platform's services; "": any port on loopback
	Dir    string // existing folder for settings, keys and the layout
}

// RecordsPath is the URL path of the stand-ins' own records.
const RecordsPath = "/standin/v1/records"

// Records are what the stand-ins recorded of a run.
type Records struct {
	Effects           []load.Effect
	Overcommits       int
	UnreachableModels []string
	Moves             int
}

// StartStandInServer starts the stand-ins, puts the site's configuration in force and
// writes the settings, keys and layout to the folder. On an error nothing is left
// running.
func StartStandInServer(ctx context.Context, opt StandInServerOptions) (*StandInServer, error) {
	if opt.Hosts == 0 {
		opt.Hosts = opt.Site.EntryHosts
	}
	if opt.Listen == "" {
		opt.Listen = AnyPort
	}
	dir, err := filepath.Abs(opt.Dir)
	if err != nil {
		return nil, eris.Wrap(err, "folder")
	}
	ln, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen for the platform's services")
	}
	in, err := startStandIns(opt.Site, site.StartOptions{Seed: opt.Seed})
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	s := &StandInServer{StandIns: in, site: opt.Site, watchersDone: make(chan struct{}), truthRequests: make(chan chan site.GroundTruth)}
	if err := s.prepare(ctx, dir, "http://"+ln.Addr().String(), opt.Hosts); err != nil {
		_ = ln.Close()
		in.Upstreams.Close()
		return nil, err
	}
	s.serve(ctx, ln)
	return s, nil
}

// serve starts the platform's services and the monitors of hosts and upstreams.
func (s *StandInServer) serve(ctx context.Context, ln net.Listener) {
	ctx, s.stop = context.WithCancel(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RecordsPath, s.serveRecords)
	mux.Handle("/", fake.Handler(fake.Services{Table: s.Table, Objects: s.Objects, Hosts: s.HostList, Weights: s.Weights}))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }() // ends with Close
	var watches sync.WaitGroup
	watches.Go(func() { s.monitorUpstreams(ctx) })
	watches.Go(func() { s.watchHosts(ctx) })
	go func() {
		watches.Wait()
		close(s.watchersDone)
	}()
}

// prepare puts the configuration in force and writes the files that the hosts need.
func (s *StandInServer) prepare(ctx context.Context, dir, base string, hosts int) error {
	if err := ApplyConfig(ctx, s.Table, s.Objects, &s.Upstreams.Config); err != nil {
		return err
	}
	if err := writeSecrets(dir); err != nil {
		return err
	}
	teams := s.site.Deployment.Teams
	team := teams[len(teams)-1].Name
	s.Layout = Layout{Site: s.site.Deployment.Site, StandIns: base, OperatorKey: filepath.Join(dir, operatorKeyFile),
		Team: team, TeamKey: s.site.TeamKey(team)}
	for _, e := range s.Upstreams.Engines {
		s.Layout.Engines = append(s.Layout.Engines, e.Addr())
	}
	for i := range hosts {
		e, err := writeEntry(dir, hostName(i), s.site.EntryDataCentre(i), base)
		if err != nil {
			return err
		}
		s.Layout.Entries = append(s.Layout.Entries, e)
	}
	return writeLayout(dir, &s.Layout)
}

// monitorUpstreams monitors the upstreams' actual state until ctx ends. Each request for
// the records ends one period of monitoring, whose result it gets, and starts the next.
func (s *StandInServer) monitorUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		monitorCtx, endMonitor := context.WithCancel(ctx)
		truth := make(chan site.GroundTruth, 1)
		go func() { truth <- s.Upstreams.Monitor(monitorCtx) }()
		select {
		case reply := <-s.truthRequests:
			endMonitor()
			reply <- <-truth // buffered: does not block if the reader has hung up
		case <-ctx.Done():
			endMonitor()
			<-truth
		}
	}
}

func (s *StandInServer) serveRecords(w http.ResponseWriter, r *http.Request) {
	reply := make(chan site.GroundTruth, 1)
	select {
	case s.truthRequests <- reply:
	case <-s.watchersDone:
		http.Error(w, "the stand-ins are stopping", http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t := <-reply
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Records{Effects: s.Upstreams.Effects(), Overcommits: len(t.Overcommits),
		UnreachableModels: t.UnreachableModels(&s.Upstreams.Config), Moves: t.ModelLoads}) // fails if the reader has hung up
}

// Close stops the stand-ins.
func (s *StandInServer) Close() {
	s.stop()
	<-s.watchersDone
	_ = s.server.Close()
	s.Upstreams.Close()
}

// ReadRecords requests the records of stand-ins in another process; standIns is the URL
// of their server.
func ReadRecords(ctx context.Context, standIns string) (*Records, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, standIns+RecordsPath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request the stand-ins' records")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "request the stand-ins' records")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New("read the stand-ins' records: " + resp.Status)
	}
	var rec Records
	return &rec, eris.Wrap(json.NewDecoder(resp.Body).Decode(&rec), "read records")
}

// AddRecords fills in what only the stand-ins recorded, for a report on hosts and
// stand-ins in other processes.
func (r *Report) AddRecords(rec *Records) {
	r.Overcommits, r.ModelLoads, r.Unreachable = rec.Overcommits, rec.Moves, rec.UnreachableModels
	r.UnreachableModels = len(rec.UnreachableModels)
}
