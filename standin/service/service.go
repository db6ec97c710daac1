// Package service imitates a plain service behind engineapi.PathService: it
// answers any method and path, takes a configured time by route, and records every
// execution with its attempt id and idempotency key, so that a call which ran
// twice is detected without asking any host.
package service

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/attempts"
	"peridotpier.example/standin/wire"
)

// Default values of a Config, and a bound.
const (
	defaultMaxConcurrent  = 32
	defaultMaxQueue       = 256
	defaultAttemptLogSize = 1 << 14
	defaultMaxRecords     = 1 << 20
	maxBodyBytes          = 16 << 20
)

// Route sets how long calls to a part of the service take. The first matching
// route applies.
type Route struct {
	Method   string // "*" for any
	Prefix   string // of the path below the service
	Duration time.Duration
}

// Config holds the settings of one instance of a plain service.
type Config struct {
	Name            string
	Listen          string // IP:port, port 0 for any; "": 127.0.0.1:0
	Routes          []Route
	DefaultDuration time.Duration // of calls that match no route
	MaxConcurrent   int           // calls that run at once
	MaxQueue        int           // calls that wait
	ReportInterval  time.Duration // 0: a report is made when it is requested
	ReportLag       time.Duration
	AttemptLogSize  int
	MaxRecords      int
	Seed            uint64
	// OnExecution, when set, is called with each execution as it begins, and the
	// function that it returns is called with its answer. Neither may call the
	// service.
	OnExecution func(Execution) (onAnswer func(answer []byte))
}

// Execution is one call that took effect or was interrupted by the end of the
// process.
type Execution struct {
	Attempt        string
	Incarnation    string
	ForIncarnation string // incarnation that it was meant for; "": any
	IdempotencyKey string // header as it arrived; "" when the host did not forward it
	Team           string // from the mark in the body or query
	Invocation     string
	Tag            string // Accept-Language, by which a test distinguishes otherwise equal calls
	Method         string
	Path           string
	Started        time.Time
	Ended          time.Time // zero: it runs, or was interrupted by the end of the process
	AnswerDigest   uint64    // xxhash of the answer's body; 0 until it ended
}

// Service is one instance of a plain service.
type Service struct {
	cfg       Config
	srv       *http.Server
	ln        *wire.Listener
	ctx       context.Context
	cancelCtx context.CancelFunc
	loops     sync.WaitGroup

	mu             sync.Mutex
	incarnation    string
	incarnationCtx context.Context // ends with the incarnation
	endIncarnation context.CancelFunc
	startedAt      time.Time
	draining       bool
	running        int
	waiting        int
	slots          chan struct{}
	attempts       *attempts.Log[*call]
	reports        []engineapi.Report
	sequence       uint64
	executions     []Execution
	droppedRecords int
	rng            *rand.Rand
	faults         faults
}

// New returns a service that does not listen yet.
func New(cfg Config) (*Service, error) {
	if cfg.Name == "" {
		return nil, errors.New("service: Config.Name is empty")
	}
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	for _, d := range []struct {
		v *int
		d int
	}{{&cfg.MaxConcurrent, defaultMaxConcurrent}, {&cfg.MaxQueue, defaultMaxQueue}, {&cfg.AttemptLogSize, defaultAttemptLogSize}, {&cfg.MaxRecords, defaultMaxRecords}} {
		if *d.v == 0 {
			*d.v = d.d
		}
	}
	s := &Service{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))}
	s.ctx, s.cancelCtx = context.WithCancel(context.Background())
	s.srv = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	s.reset()
	if cfg.ReportInterval > 0 {
		s.loops.Go(s.reportLoop)
	}
	return s, nil
}

func (s *Service) reset() {
	s.incarnation, s.startedAt, s.draining = uuid.NewString(), time.Now(), false
	s.incarnationCtx, s.endIncarnation = context.WithCancel(s.ctx)
	s.running, s.waiting = 0, 0
	s.slots = make(chan struct{}, s.cfg.MaxConcurrent)
	s.attempts = attempts.New[*call](s.cfg.AttemptLogSize)
	s.reports, s.sequence = nil, 0
	s.addReport()
}

// Start listens and serves until Close.
func (s *Service) Start() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return eris.Wrapf(err, "service %s: listen", s.cfg.Name)
	}
	s.ln = wire.NewListener(ln)
	s.loops.Go(func() { _ = s.srv.Serve(s.ln) })
	return nil
}

// Addr returns the IP:port that the service listens on.
func (s *Service) Addr() string { return s.ln.Addr().String() }

// Name returns the name of the instance in the deployment configuration.
func (s *Service) Name() string { return s.cfg.Name }

// Close ends all calls and loops at once and waits for the loops to return.
func (s *Service) Close() {
	s.cancelCtx()
	_ = s.srv.Close()
	s.loops.Wait()
}

// Handler returns the handler of the protocol.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathService, s.serve)
	mux.HandleFunc("GET "+engineapi.PathReport, s.serveReport)
	mux.HandleFunc("GET "+engineapi.PathAttempt, func(w http.ResponseWriter, r *http.Request) { s.serveOutcome(w, r, false) })
	mux.HandleFunc("DELETE "+engineapi.PathAttempt, func(w http.ResponseWriter, r *http.Request) { s.serveOutcome(w, r, true) })
	return mux
}

func (s *Service) setHeaders(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(engineapi.HeaderLoad, fmt.Sprintf("%d %d %d %d", s.running, s.waiting, s.sequence, time.Since(s.startedAt).Milliseconds()))
	h.Set(engineapi.HeaderIncarnation, s.incarnation)
}

func (s *Service) duration(method, path string) time.Duration {
	for _, r := range s.cfg.Routes {
		if (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return r.Duration
		}
	}
	return s.cfg.DefaultDuration
}

// Executions returns a copy of the records of what ran, over all incarnations.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}
