// Package server puts a node together: listeners, the data path, and what
// runs beside it. Everything it starts it also stops, in the order that a
// graceful shutdown needs.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/route"
	"peridotpier.example/node/admission"
	"peridotpier.example/node/callerapi"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/platform"
	"peridotpier.example/node/query"
	"peridotpier.example/node/settings"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/poll"
	"peridotpier.example/node/upstream/view"
)

// headBound is how long a caller may take to send the head of a request.
const headBound = 10 * time.Second

// idleBound is how long a caller's idle connection is kept; above the pools
// of usual clients and balancers, so that these close first and never meet a
// connection that the host is just closing.
const idleBound = 90 * time.Second

// Config is what a node is made of.
type Config struct {
	Settings *settings.Settings
	Secrets  Secrets
	Platform Platform
	Log      *zap.Logger
	Policy   Policy
	// Dialer opens connections to upstreams; nil: a net.Dialer.
	Dialer conn.Dialer
	// Distance is the round trip between data centres in milliseconds; nil: none known.
	Distance func(from, to string) float64
}

// Policy replaces decisions, for baselines that the product's own are measured
// against. The zero value is the product's.
type Policy struct {
	Picker        route.Picker // nil: the product's
	OpenAdmission bool         // everything is let in at once
	NoPlanner     bool         // models stay where they are
}

// Platform is what the platform gives.
type Platform struct {
	Table   platform.Table
	Objects platform.Objects
	Hosts   platform.Hosts
	Weights platform.Weights
}

// Server is one node.
type Server struct {
	cfg      Config
	log      *event.Log
	metrics  *metrics.Set
	requests *inflight.Registry
	client   *conn.Client
	view     *view.View
	poller   *poll.Poller
	dispatch *dispatch.Dispatcher
	admit    *admission.Controller
	claims   *claims
	caller   *http.Server
	callerLn net.Listener
	state    atomic.Pointer[query.State]
	ready    atomic.Bool
	kill     sync.Once
	killed   chan struct{}
}

// New puts a node together and opens its listeners.
func New(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, log: event.NewLog(cfg.Log), metrics: metrics.New(), requests: inflight.New(), client: conn.New(conn.Config{Dialer: cfg.Dialer}), killed: make(chan struct{})}
	set := cfg.Settings
	s.view = view.New(set.DataCentre, time.Now, cfg.Distance)
	s.poller = poll.New(poll.Config{Every: set.Bounds.ReportEvery(), Events: true}, s.client, s.view, s.log)
	picker := cfg.Policy.Picker
	if picker == nil {
		picker = route.New(route.Config{})
	}
	s.dispatch = dispatch.New(dispatch.Config{Silence: set.Bounds.Silence(), RetryShare: set.Bounds.RetryShare},
		dispatch.Deps{View: s.view, Picker: picker, Client: s.client, Log: s.log, Metrics: s.metrics})
	s.metrics.Func(metrics.InFlight, func() any { return s.requests.Live() })
	s.admit = admission.New(admission.Config{Hosts: 1})
	s.claims = newClaims(cfg.Platform, s, set)
	api := callerapi.New(callerapi.Config{Host: set.Host, PrefixSalt: cfg.Secrets.PrefixSalt}, callerapi.Deps{
		InForce: s.state.Load, Admission: admitter{c: s.admit, open: cfg.Policy.OpenAdmission}, Claims: s.claims, Dispatcher: s.dispatch, Tokens: cfg.Secrets.Resume,
		Requests: s.requests, Metrics: s.metrics, Log: s.log, Now: time.Now})
	s.caller = &http.Server{Handler: api, ReadHeaderTimeout: headBound, IdleTimeout: idleBound, MaxHeaderBytes: set.Bounds.HeaderBytes}
	ln, err := net.Listen("tcp", set.Caller.Address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	s.callerLn = ln
	return s, nil
}

// CallerAddress is where callers are served.
func (s *Server) CallerAddress() string { return s.callerLn.Addr().String() }

// Run serves until ctx ends, then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g.Add(func() error { return s.poller.Run(work) }, func(error) { stopWork() })
	g.Add(func() error {
		if err := s.caller.Serve(s.callerLn); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve callers")
		}
		<-work.Done()
		return nil
	}, func(error) { _ = s.caller.Close() })
	g.Add(func() error { return s.admit.Run(work) }, func(error) { stopWork() })
	g.Add(func() error { return s.claims.run(work) }, func(error) { stopWork() })
	g.Add(func() error { return s.untilDrained(ctx) }, func(error) { stopWork() })
	s.ready.Store(true)
	s.log.Emit(event.ProcessReady, zap.String("host", s.cfg.Settings.Host), zap.String("address", s.CallerAddress()))
	err := g.Run()
	s.client.Close()
	return err
}

// untilDrained waits for the order to stop, then says "not ready", goes on
// serving while the balancer has not seen it, stops taking requests, and waits
// for those in flight. Taking none from the first moment would refuse what the
// balancer still sends; a listener closed too early would cut it off.
func (s *Server) untilDrained(ctx context.Context) error {
	select {
	case <-s.killed:
		return nil
	case <-ctx.Done():
	}
	s.ready.Store(false)
	s.log.Emit(event.ProcessDrain, zap.Int("in_flight", s.requests.Live()))
	if !s.wait(s.cfg.Settings.Bounds.BalancerWait()) {
		return nil
	}
	bound, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.Bounds.Drain())
	defer cancel()
	cut := 0
	if err := s.caller.Shutdown(bound); err != nil {
		cut = s.requests.HandOver()
		last, cancelLast := context.WithTimeout(context.Background(), handOverBound)
		defer cancelLast()
		_ = s.caller.Shutdown(last) // what is still open then is closed by Run
	}
	s.log.Emit(event.ProcessStopped, zap.Int("cut", cut))
	return nil
}

// handOverBound is how long streams get to tell their callers where to go on.
const handOverBound = 2 * time.Second

// wait lets d pass; false: the host was killed meanwhile.
func (s *Server) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.killed:
		return false
	}
}

// Kill ends the host without a word to anyone, as the death of its process
// would: connections break, nothing is handed over.
func (s *Server) Kill() {
	s.kill.Do(func() {
		close(s.killed)
		_ = s.caller.Close()
	})
}
