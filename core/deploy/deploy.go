// Package deploy describes a deployment of routed traffic: which requests go
// to which services under which promises, and what the engines behind them can
// hold. It is read by every request, so a value is never changed once it was
// published.
package deploy

import "time"

// RequestKind tells what of a request may be repeated.
type RequestKind uint8

// The kinds of requests.
const (
	Idempotent    RequestKind = iota // may run more than once
	NonIdempotent                    // runs once at most
	Stream                           // answers in events; runs once at most unless its route is resumable
)

// String names the kind in logs.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	default:
		return "stream"
	}
}

// Split is one service's share of a route's traffic.
type Split struct {
	Service string
	Weight  int // of the sum of all splits of the route
}

// Route says where requests of one host name and path prefix go.
type Route struct {
	Name       string
	Host       string // lower case, without a port
	Prefix     string // begins and ends with a slash
	Kind       RequestKind
	Timeout    time.Duration // longest time that a caller may be kept waiting
	Objective  time.Duration // time within which an answer earns its full worth
	PauseBound time.Duration // longest pause between events of an answer in time; 0: none
	Priority   int           // 0 is the most urgent
	Attempts   int           // most upstreams that one request may be sent to
	Sticky     bool          // requests share parts of their prompts
	Resumable  bool          // a stream may go on at another upstream
	Public     bool          // anybody may call it, without a key
	Splits     []Split       // one at least
}

// Repeatable says whether a request of the route may run a second time from
// its start.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Model is a set of weights that engines of a service can load.
type Model struct {
	Name       string
	WeightsMB  float64
	StoreLoad  time.Duration // from the weight store
	MemoryLoad time.Duration // from the upstream's host memory; 0: no such copies
	DiskLoad   time.Duration // from the upstream's disk; 0: no such copies
	Adapters   int           // named a1, a2, and so on
	AdapterMB  float64
}

// Engine is what each upstream of a service of models can hold.
type Engine struct {
	Slots          int     // requests in one batch
	CacheTokens    int     // tokens that running requests and cached parts share
	MemoryMB       float64 // for weights and adapters together
	AdapterSlots   int
	LoadsPerSecond float64 // from the weight store, over all upstreams
	HostMemoryMB   float64 // for copies of weights in host memory
	DiskMB         float64 // for copies of weights on disk
	EventTokens    int     // tokens an event of a stream
	Models         []Model
}

// Model finds a model by name.
func (e *Engine) Model(name string) (*Model, bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name            string
	HealthPath      string
	ConnectionLimit int     // connections that one upstream accepts from all hosts together; 0: no limit
	Engine          *Engine // nil: a plain service
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration of a deployment.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team `json:",omitempty"` // none: callers need no key
}
