// Package deploy describes a deployment of routed traffic: which requests go to
// which services under which limits and objectives, and what the engines behind
// them can hold. Every request reads it, so a value is never changed once it has
// been published.
package deploy

import "time"

// RequestKind determines whether a request may run more than once.
type RequestKind uint8

// The kinds of requests.
const (
	Idempotent    RequestKind = iota // may run more than once
	NonIdempotent                    // runs at most once
	Stream                           // answers in events; runs at most once unless its route is resumable
)

// String returns the name of the kind, for logs.
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
	Weight  int // relative to the sum over all splits of the route
}

// Route determines where requests of one host name and path prefix are sent, and
// how.
type Route struct {
	Name       string
	Host       string // lower case, without a port
	Prefix     string // begins and ends with a slash
	Kind       RequestKind
	Timeout    time.Duration // longest time for which a caller may be kept waiting
	Objective  time.Duration // time within which an answer has its full value
	PauseBound time.Duration // maximum pause between events of a timely answer; 0: none
	Priority   int           // 0 is the most urgent
	Attempts   int           // maximum number of upstreams that one request may be sent to
	Sticky     bool          // requests share parts of their prompts
	Resumable  bool          // a stream may be continued at another upstream
	Public     bool          // it may be called without a key
	Splits     []Split       // at least one
}

// Repeatable reports whether a request of the route may be run again from its
// start.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Model is a set of weights that the engines of a service can load.
type Model struct {
	Name       string
	WeightsMB  float64
	StoreLoad  time.Duration // load time from the weight store
	MemoryLoad time.Duration // load time from the upstream's host memory; 0: no such copies
	DiskLoad   time.Duration // load time from the upstream's disk; 0: no such copies
	Adapters   int           // number of adapters, named a1, a2, and so on
	AdapterMB  float64
}

// Engine is the capacity of each upstream of a service that runs models.
type Engine struct {
	Slots          int     // requests in one batch
	CacheTokens    int     // tokens that running requests and cached prefixes share
	MemoryMB       float64 // for weights and adapters together
	AdapterSlots   int
	LoadsPerSecond float64 // from the weight store, over all upstreams
	HostMemoryMB   float64 // for copies of weights in host memory
	DiskMB         float64 // for copies of weights on disk
	EventTokens    int     // tokens per event of a stream
	Models         []Model
}

// Model returns the model with a name.
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
	Engine          *Engine // nil: a plain service, without models
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
	// Ignored describes values that cannot be used and count as absent.
	Ignored []string `json:",omitempty"`
}
