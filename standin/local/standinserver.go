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

// StandInServer is all of a site but its entry hosts, for hosts that are processes
// of their own: the platform's services over HTTP, the upstreams, and a folder
// with what the hosts need to start.
type StandInServer struct {
	*StandIns
	Layout Layout

	site          *site.Site
	server        *http.Server
	stop          context.CancelFunc
	watchersDone  chan struct{}
	truthRequests chan chan site.GroundTruth // one answer each
}

// StandInServerOptions say what to start.
type StandInServerOptions struct {
	Site   *site.Site
	Seed   uint64
	Hosts  int    // entry hosts to write settings for; 0: as the site says
	Listen string // of the platform's services; "": any port on loopback
	Dir    string // existing folder for settings, keys and the layout
}

// RecordsPath is where the stand-ins' own records are read.
const RecordsPath = "/standin/v1/records"

// Records are what the stand-ins know of a run.
type Records struct {
	Effects           []load.Effect
	Overcommits       int
	UnreachableModels []string
	Moves             int
}

// StartStandInServer starts the stand-ins, puts the site's configuration in force
// and writes the folder.
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
	o := &StandInServer{StandIns: in, site: opt.Site, watchersDone: make(chan struct{}), truthRequests: make(chan chan site.GroundTruth)}
	if err := o.prepare(ctx, dir, "http://"+ln.Addr().String(), opt.Hosts); err != nil {
		_ = ln.Close()
		in.Upstreams.Close()
		return nil, err
	}
	o.serve(ctx, ln)
	return o, nil
}

// serve starts the platform's services and the watch over hosts.
func (o *StandInServer) serve(ctx context.Context, ln net.Listener) {
	ctx, o.stop = context.WithCancel(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RecordsPath, o.serveRecords)
	mux.Handle("/", fake.Handler(fake.Services{Table: o.Table, Objects: o.Objects, Hosts: o.HostList, Weights: o.Weights}))
	o.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = o.server.Serve(ln) }() // ends with Close
	var watches sync.WaitGroup
	watches.Go(func() { o.monitorUpstreams(ctx) })
	watches.Go(func() { o.watchHosts(ctx) })
	go func() {
		watches.Wait()
		close(o.watchersDone)
	}()
}

// prepare puts the configuration in force and writes what the hosts need.
func (o *StandInServer) prepare(ctx context.Context, dir, base string, hosts int) error {
	if err := ApplyConfig(ctx, o.Table, o.Objects, &o.Upstreams.Config); err != nil {
		return err
	}
	if err := writeSecrets(dir); err != nil {
		return err
	}
	teams := o.site.Deployment.Teams
	team := teams[len(teams)-1].Name
	o.Layout = Layout{Site: o.site.Deployment.Site, StandIns: base, OperatorKey: filepath.Join(dir, operatorKeyFile),
		Team: team, TeamKey: o.site.TeamKey(team)}
	for _, e := range o.Upstreams.Engines {
		o.Layout.Engines = append(o.Layout.Engines, e.Addr())
	}
	for i := range hosts {
		e, err := writeEntry(dir, hostName(i), o.site.EntryDataCentre(i), base)
		if err != nil {
			return err
		}
		o.Layout.Entries = append(o.Layout.Entries, e)
	}
	return writeLayout(dir, &o.Layout)
}

// monitorUpstreams watches the upstreams' true state; each question for the records
// ends one stretch of watching and begins the next.
func (o *StandInServer) monitorUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		monitorCtx, endMonitor := context.WithCancel(ctx)
		truth := make(chan site.GroundTruth, 1)
		go func() { truth <- o.Upstreams.Monitor(monitorCtx) }()
		select {
		case reply := <-o.truthRequests:
			endMonitor()
			reply <- <-truth // has room: nobody need be there to take it
		case <-ctx.Done():
			endMonitor()
			<-truth
		}
	}
}

func (o *StandInServer) serveRecords(w http.ResponseWriter, r *http.Request) {
	reply := make(chan site.GroundTruth, 1)
	select {
	case o.truthRequests <- reply:
	case <-o.watchersDone:
		http.Error(w, "the stand-ins are stopping", http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	t := <-reply
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Records{Effects: o.Upstreams.Effects(), Overcommits: len(t.Overcommits),
		UnreachableModels: t.UnreachableModels(&o.Upstreams.Config), Moves: t.ModelLoads}) // the reader may be gone
}

// Close stops the stand-ins.
func (o *StandInServer) Close() {
	o.stop()
	<-o.watchersDone
	_ = o.server.Close()
	o.Upstreams.Close()
}

// ReadRecords asks stand-ins that run elsewhere for their records.
func ReadRecords(ctx context.Context, standIns string) (*Records, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, standIns+RecordsPath, nil)
	if err != nil {
		return nil, eris.Wrap(err, "ask for records")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "ask for records")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New("the stand-ins give no records: " + resp.Status)
	}
	var rec Records
	return &rec, eris.Wrap(json.NewDecoder(resp.Body).Decode(&rec), "read records")
}

// AddRecords completes a report whose hosts and stand-ins were other processes.
func (r *Report) AddRecords(rec *Records) {
	r.Overcommits, r.ModelLoads, r.Unreachable = rec.Overcommits, rec.Moves, rec.UnreachableModels
	r.UnreachableModels = len(rec.UnreachableModels)
}
