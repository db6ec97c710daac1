// Package engine imitates a model engine behind the protocol of
// node/upstream/engineapi: continuous batching, priorities, a limited prefix
// cache, streams that can be resumed and cancelled, orders that load and unload
// weights, and reports that lag. It records what ran and each time at which its
// memory was overcommitted; tests and benchmarks use these records as evidence. It
// can be made to fail in the ways in which engines fail.
package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/attempts"
	"peridotpier.example/standin/wire"
)

// Engine is one model engine. Its state is guarded by mu, except for what the
// reader of a stream needs for each token, which is guarded by the attempt's lock.
// Lock order: mu, then attempt.mu.
type Engine struct {
	cfg       Config
	srv       *http.Server
	ln        *wire.Listener
	cancelCtx context.CancelFunc
	ctx       context.Context // ends at Close
	loops     sync.WaitGroup
	wake      chan struct{} // notifies the step loop that there may be work
	faults    faults

	mu               sync.Mutex
	closed           bool
	incarnation      string
	incarnationEnded chan struct{} // closed when the current incarnation ends
	startedAt        time.Time
	draining         bool
	role             string
	attempts         *attempts.Log[*attempt]
	batch            batch
	residents        []*resident
	epoch            uint64
	lastOps          []string
	reports          []engineapi.Report // newest last
	sequence         uint64
	prefixes         prefixCache
	events           []cacheEvent
	eventSeq         uint64
	rng              *rand.Rand
	records          Records
}

// New returns an engine that does not listen yet.
func New(cfg Config) (*Engine, error) {
	cfg = cfg.withDefaults()
	if cfg.Name == "" {
		return nil, errors.New("engine: Config.Name is empty")
	}
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))}
	e.ctx, e.cancelCtx = context.WithCancel(context.Background())
	e.srv = &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 10 * time.Second}
	e.reset()
	e.loops.Go(e.stepLoop)
	if cfg.ReportInterval > 0 {
		e.loops.Go(e.reportLoop)
	}
	return e, nil
}

// reset begins an incarnation with empty memory. The caller holds mu or is the
// only user of the engine.
func (e *Engine) reset() {
	e.incarnation, e.incarnationEnded, e.startedAt = uuid.NewString(), make(chan struct{}), time.Now()
	e.draining, e.role, e.epoch, e.lastOps, e.residents = false, roleServe, 0, nil, nil
	e.attempts = attempts.New[*attempt](e.cfg.AttemptLogSize)
	e.batch = batch{}
	e.reports, e.sequence = nil, 0
	e.prefixes = newPrefixCache(e.cfg.PrefixSlots)
	e.events, e.eventSeq = nil, 0
	e.addReport()
}

// Start listens and serves until Close.
func (e *Engine) Start() error {
	ln, err := net.Listen("tcp", e.cfg.Listen)
	if err != nil {
		return eris.Wrapf(err, "engine %s: listen", e.cfg.Name)
	}
	e.ln = wire.NewListener(ln)
	e.loops.Go(func() { _ = e.srv.Serve(e.ln) })
	return nil
}

// Addr returns the IP:port that the engine listens on.
func (e *Engine) Addr() string { return e.ln.Addr().String() }

// Name returns the name of the engine in the deployment configuration.
func (e *Engine) Name() string { return e.cfg.Name }

// Close ends all attempts and loops at once and waits for the loops to return.
func (e *Engine) Close() {
	e.mu.Lock()
	e.endIncarnation()
	e.closed = true
	e.mu.Unlock()
	e.cancelCtx()
	_ = e.srv.Close()
	e.loops.Wait()
}

// spawn starts a goroutine that Close waits for. After Close it starts none. The
// caller holds mu.
func (e *Engine) spawn(f func()) {
	if !e.closed {
		e.loops.Go(f)
	}
}

// Handler returns the handler of the engine protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathChat, func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	mux.HandleFunc("POST "+engineapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	mux.HandleFunc("GET "+engineapi.PathReport, e.serveReport)
	mux.HandleFunc("GET "+engineapi.PathEvents, e.serveEvents)
	mux.HandleFunc("POST "+engineapi.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+engineapi.PathAttempt, e.serveOutcome)
	mux.HandleFunc("DELETE "+engineapi.PathAttempt, e.serveCancel)
	mux.HandleFunc("GET "+engineapi.PathResume, e.serveResume)
	return mux
}

// setHeaders sets the headers that every answer carries: load and incarnation.
func (e *Engine) setHeaders(h http.Header) {
	e.mu.Lock()
	load := strconv.Itoa(len(e.batch.running)) + " " + strconv.Itoa(e.batch.waitingCount()) + " " +
		strconv.FormatUint(e.sequence, 10) + " " + strconv.FormatInt(time.Since(e.startedAt).Milliseconds(), 10)
	inc := e.incarnation
	e.mu.Unlock()
	h.Set(engineapi.HeaderLoad, load)
	h.Set(engineapi.HeaderIncarnation, inc)
}
