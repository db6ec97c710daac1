// Package server assembles a node: its listeners, the data path and the
// background tasks. It stops everything that it starts, in the order that a
// graceful shutdown needs.
package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/route"
	"peridotpier.example/node/admission"
	"peridotpier.example/node/callerapi"
	"peridotpier.example/node/command"
	"peridotpier.example/node/connlimit"
	"peridotpier.example/node/demand"
	"peridotpier.example/node/dispatch"
	"peridotpier.example/node/event"
	"peridotpier.example/node/inflight"
	"peridotpier.example/node/keys"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/operatorapi"
	"peridotpier.example/node/peer"
	"peridotpier.example/node/query"
	"peridotpier.example/node/settings"
	"peridotpier.example/node/store"
	"peridotpier.example/node/upstream/conn"
	"peridotpier.example/node/upstream/orders"
	"peridotpier.example/node/upstream/poll"
	"peridotpier.example/node/upstream/view"
)

// Config is the configuration of a node.
type Config struct {
	Settings *settings.Settings
	Keys     *keys.Ring
	Platform Platform
	Log      *zap.Logger
	Policy   Policy
	// Dialer opens connections to upstreams; nil means a net.Dialer.
	Dialer conn.Dialer
	// PeerDialer opens connections to other entry hosts; nil means a net.Dialer.
	PeerDialer conn.Dialer
	// HeartbeatInterval and HostListInterval are the intervals of heartbeats to
	// other hosts and of reads of the platform's list of hosts; 0 means the defaults.
	HeartbeatInterval time.Duration
	HostListInterval  time.Duration
	// Demand sets the time constants of the mean demand that placement follows; the
	// zero value means the defaults.
	Demand demand.Config
	// ClaimGrace is how long after a request's deadline other hosts wait before they
	// resolve its claim; 0 means the default.
	ClaimGrace time.Duration
	// HeadTimeout and BodyTimeout bound the time a caller may take to send the
	// head and the body of a request; 0 means the defaults.
	HeadTimeout time.Duration
	BodyTimeout time.Duration
	// RoundTripMs returns the round-trip time between two data centres in
	// milliseconds; nil means that none is known.
	RoundTripMs func(from, to string) float64
}

// Policy replaces decisions of the product, for baselines that it is measured
// against. The zero value keeps all of the product's decisions.
type Policy struct {
	Picker        route.Picker // nil means the product's
	AdmitAll      bool         // every request is admitted at once
	NoPlanner     bool         // models are never moved
	ForwardClaims bool         // claims go through the claim writers in small fleets too
	DirectPolling bool         // each host polls every upstream itself, however many there are
	// NotifyDemand, when set, is called for each request for a model that is
	// resident at no upstream.
	NotifyDemand func(pool string, key route.ModelKey)
}

// Platform holds the services that the platform provides.
type Platform struct {
	Table   store.Table
	Era     func() uint64 // newest era of the table service that this process has seen; nil: it is never restored
	Objects store.Objects
	Hosts   store.Hosts
	Weights store.Weights
}

// Server is one node.
type Server struct {
	cfg              Config
	incarnation      string
	started          time.Time
	log              *event.Log
	metrics          *metrics.Set
	requests         *inflight.Registry
	client           *conn.Client
	infrequentClient *conn.Client
	view             *view.View
	poller           *poll.Poller
	config           *query.ConfigReader
	dispatch         *dispatch.Dispatcher
	admit            *admission.Controller
	claims           *claims
	orders           *orders.Sender
	demand           *demand.Tracker
	peerDemand       peerDemand
	mesh             *peer.Mesh
	peerLn           net.Listener
	clientLimiter    *connlimit.Limiter // of callers and operators
	peerLimiter      *connlimit.Limiter
	roles            roles
	reconcile        chan struct{}
	siteHosts        atomic.Int32 // entry hosts that share the upstreams
	callers          *listener
	conns            *connStates // of callers
	operators        *listener
	phase            atomic.Int32
	kill             sync.Once
	killed           chan struct{}
}

// infrequentMaxIdle is how long idle connections are kept that are used only
// every few seconds.
const infrequentMaxIdle = 100 * time.Millisecond

// The phases of a node, from start to stop.
const (
	phaseStarting int32 = iota // no configuration in force yet, or upstreams not yet polled
	phaseReady
	phaseDraining
)

// New assembles a node and opens its listeners.
func New(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, incarnation: uuid.NewString(), started: time.Now(), log: event.NewLog(cfg.Log),
		metrics: metrics.New(), requests: inflight.New(), client: conn.New(conn.Config{Dialer: cfg.Dialer}),
		infrequentClient: conn.New(conn.Config{Dialer: cfg.Dialer, MaxIdleTime: infrequentMaxIdle}),
		killed:           make(chan struct{}), reconcile: make(chan struct{}, 1), roles: roles{byName: map[string]*role{}}}
	s.siteHosts.Store(1)
	s.buildDataPath()
	if err := s.buildControlPath(); err != nil {
		return nil, err
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// buildDataPath creates the components that a request passes through.
func (s *Server) buildDataPath() {
	set := s.cfg.Settings
	s.view = view.New(set.DataCentre, time.Now, s.cfg.RoundTripMs)
	s.poller = poll.New(s.client, s.infrequentClient, s.view, s.log)
	picker := s.cfg.Policy.Picker
	if picker == nil {
		picker = route.New(route.Config{})
	}
	s.dispatch = dispatch.New(dispatch.Config{IdleBeforeProbe: set.Bounds.IdleBeforeProbe(), RetryShare: set.Bounds.RetryShare},
		dispatch.Deps{View: s.view, Picker: picker, Client: s.client, Log: s.log, Metrics: s.metrics, NotifyDemand: s.cfg.Policy.NotifyDemand, ResponseMemory: s.newResponseMemory()})
	s.poller.OnReport = s.publishReport
	s.demand = demand.New(s.cfg.Demand)
	s.admit = admission.New(admission.Config{Hosts: 1})
	s.claims = newClaims(s)
}

// buildControlPath creates the components that run beside the requests: the
// configuration reader, the order sender and the peer mesh with its listener.
func (s *Server) buildControlPath() error {
	s.config = query.NewConfigReader(s.cfg.Settings.Bounds.ConfigPoll(),
		query.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects, Log: s.log,
			OnLost: command.NewConfiguration(command.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects, Log: s.log}).Rewrite})
	s.metrics.SetFunc(metrics.InFlight, func() any { return s.requests.LiveCount() })
	s.metrics.SetFunc(metrics.ConfigVersion, func() any { return s.configVersion() })
	s.orders = orders.New(s.client, s.addressOf)
	ln, err := net.Listen("tcp", s.cfg.Settings.Peer.Address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	s.limitClients()
	s.peerLn = s.cfg.Keys.PeerListener(s.peerLimiter.ListenForMessages(ln, "peers"))
	s.mesh = s.newMesh(ln.Addr().String())
	return nil
}

// addressOf returns an upstream's address in the configuration in force.
func (s *Server) addressOf(upstream string) (string, bool) {
	st, ok := s.config.Current()
	if !ok {
		return "", false
	}
	u, ok := st.Index.Upstream(upstream)
	if !ok {
		return "", false
	}
	return u.Address, true
}

func (s *Server) configVersion() uint64 {
	if st, ok := s.config.Current(); ok {
		return st.Version
	}
	return 0
}

// listen opens the listeners for callers and operators.
func (s *Server) listen() error {
	set := s.cfg.Settings
	api := callerapi.New(callerapi.Config{Host: set.Host, PrefixSalt: s.cfg.Keys.PrefixSalt(), BodyTimeout: s.cfg.BodyTimeout}, callerapi.Deps{
		Config: s.config, Admission: admitter{c: s.admit, admitAll: s.cfg.Policy.AdmitAll}, Claims: s.claims,
		Dispatcher: s.dispatch, Demand: s.demand, Tokens: s.cfg.Keys, Requests: s.requests, Metrics: s.metrics, Log: s.log, Now: time.Now})
	var err error
	if s.callers, err = s.newListener("callers", set.Caller.Address, api, s.cfg.Keys.CallerListener); err != nil {
		return err
	}
	s.conns = newConnStates(s.metrics)
	s.callers.addStateHook(s.conns.onStateChange)
	deps := command.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects, Log: s.log}
	ops := operatorapi.New(operatorapi.Deps{Operators: set.Operator.Operators, Changes: command.NewConfiguration(deps),
		Audit:  query.NewAuditReader(query.Deps{Table: s.cfg.Platform.Table, Objects: s.cfg.Platform.Objects}),
		Config: s.config, Site: s, Ready: func() bool { return s.phase.Load() == phaseReady }, Requests: s.requests, Metrics: s.metrics, Log: s.log})
	if s.operators, err = s.newListener("operators", set.Operator.Address, ops, s.cfg.Keys.OperatorListener); err != nil {
		_ = s.callers.ln.Close()
		return err
	}
	s.operators.server.ReadTimeout = operatorReadTimeout
	return nil
}

// CallerAddress returns the address of the callers' listener.
func (s *Server) CallerAddress() string { return s.callers.address() }

// PeerAddress returns the address of the listener for other entry hosts.
func (s *Server) PeerAddress() string { return s.peerLn.Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (s *Server) OperatorAddress() string { return s.operators.address() }
