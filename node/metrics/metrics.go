// Package metrics counts what a host does. Each host has its own set, shown
// through expvar's format on the operators' listener; several hosts in one
// process, as in the demo, do not share counts.
package metrics

import (
	"expvar"
	"fmt"
	"io"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Name is the name of a metric, with its unit as suffix.
type Name string

// Counters by data centre and upstream. None is kept by request: their number
// must not grow with traffic.
const (
	Attempts   Name = "attempts_total"
	Refused    Name = "attempts_refused_total"
	Mismatched Name = "answers_crossed_total"
	// BackoffsRequested counts answers that asked this host to send nothing for a while.
	BackoffsRequested Name = "attempts_rest_asked_total"
	Resumed           Name = "streams_resumed_total"
)

// Counters and gauges of the whole host.
const (
	Requests          Name = "requests_total"
	Completed         Name = "requests_completed_total"
	NotRun            Name = "requests_not_run_total"
	OutcomeUnknown    Name = "requests_unknown_total"
	Tokens            Name = "tokens_relayed_total"
	Retries           Name = "requests_sent_again_total"
	CallerDisconnects Name = "requests_left_by_caller_total"
	BackedOff         Name = "requests_backed_off_total" // refused since all upstreams asked for a pause
	InFlight          Name = "requests_in_flight"
	ConfigVersion     Name = "configuration_version"
	UnresolvedClaims  Name = "claims_unsettled"
	// UnresolvedClaimBytes are the bytes of their answers.
	UnresolvedClaimBytes Name = "claims_unsettled_bytes"
	HeapLive             Name = "memory_heap_live_bytes" // as the last collection found it
	Stacks               Name = "memory_stacks_bytes"
	Collections          Name = "memory_collections_total"
	Goroutines           Name = "goroutines"
)

// Counters and gauges of requests that end upstreams.
const (
	UpstreamsTerminated Name = "upstreams_ended_total"     // with a request of this host under way
	RequestsBarred      Name = "requests_barred_total"     // refused because they end upstreams
	PoisonSuspects      Name = "poison_requests_suspected" // as this host knows
	PoisonBarred        Name = "poison_requests_barred"    // likewise
)

// Counters and gauges of the callers' connections.
const (
	CallersAccepted   Name = "caller_connections_accepted_total"
	CallersClosed     Name = "caller_connections_closed_total"            // by reason, or by the state in which it closed
	CallersUnanswered Name = "caller_connections_closed_unanswered_total" // by reason: with a request begun and not answered
	CallersOpen       Name = "caller_connections_open"
	CallersActive     Name = "caller_connections_under_way" // with something of a request that is not answered
)

// Counters of what hosts tell each other and ask of the platform's store, by kind.
const (
	// PeerBytes are the bytes of reports, by PeerKind, and of what answers to
	// them bring, by field.
	PeerBytes Name = "peer_bytes_total"
	// PeerCalls counts the calls that hosts make of the one that acts for all.
	PeerCalls Name = "peer_calls_total"
	// StoreCalls counts calls of the platform's store, by table and reason.
	StoreCalls Name = "store_calls_total"
)

// runtimeMetrics are the metrics that the runtime keeps.
var runtimeMetrics = map[Name]string{
	HeapLive:    "/gc/heap/live:bytes",
	Stacks:      "/memory/classes/heap/stacks:bytes",
	Collections: "/gc/cycles/total:gc-cycles",
	Goroutines:  "/sched/goroutines:goroutines",
}

// Set is one host's metrics.
type Set struct {
	root   *expvar.Map
	mu     sync.Mutex // guards creation of nested maps
	tokens atomic.Int64

	histograms sync.Map // of *timing by name and kind
}

// New makes an empty set.
func New() *Set {
	s := &Set{root: new(expvar.Map).Init()}
	s.root.Set(string(Tokens), expvar.Func(func() any { return s.tokens.Load() }))
	for n, name := range runtimeMetrics {
		s.SetFunc(n, func() any {
			sample := []metrics.Sample{{Name: name}}
			metrics.Read(sample)
			return sample[0].Value.Uint64()
		})
	}
	return s
}

// Add adds to a counter of one upstream.
func (s *Set) Add(n Name, group, upstream string, by int64) {
	s.nested(s.nested(s.root, string(n)), group).Add(upstream, by)
}

func (s *Set) nested(m *expvar.Map, key string) *expvar.Map {
	if v, ok := m.Get(key).(*expvar.Map); ok {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := m.Get(key).(*expvar.Map); ok {
		return v
	}
	v := new(expvar.Map).Init()
	m.Set(key, v)
	return v
}

// Count adds to a counter or gauge of the host.
func (s *Set) Count(n Name, by int64) { s.root.Add(string(n), by) }

// CountKind adds to one kind of a counter of the host. The kinds must be few.
func (s *Set) CountKind(n Name, kind string, by int64) { s.nested(s.root, string(n)).Add(kind, by) }

// CountsByKind returns a counter of the host by kind.
func (s *Set) CountsByKind(n Name) map[string]int64 {
	out := map[string]int64{}
	m, ok := s.root.Get(string(n)).(*expvar.Map)
	if !ok {
		return out
	}
	m.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] = v.Value()
		}
	})
	return out
}

// AddTokens counts relayed tokens; it is on the path of each of them.
func (s *Set) AddTokens(by int) { s.tokens.Add(int64(by)) }

// Histograms of durations, by kind.
const (
	ResponseTime  Name = "answer_time"
	FirstByteTime Name = "first_byte_time"
	ShutdownTime  Name = "stop_time" // from the signal to the end
)

// Bounds of the durations that are told apart, in microseconds.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 2
)

// histogram is one histogram of durations.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Observe adds a duration to a histogram.
func (s *Set) Observe(n Name, kind string, d time.Duration) {
	t, _ := s.histograms.LoadOrStore(string(n)+"{"+kind+"}", &histogram{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)})
	own := t.(*histogram)
	own.mu.Lock()
	defer own.mu.Unlock()
	_ = own.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // within the bounds it cannot fail
}

// WriteText writes every counter and histogram as lines "name value".
func (s *Set) WriteText(w io.Writer) {
	writeMap(w, "", s.root)
	s.histograms.Range(func(name, t any) bool {
		own := t.(*histogram)
		own.mu.Lock()
		defer own.mu.Unlock()
		fmt.Fprintf(w, "%s_count %d\n", name, own.h.TotalCount())
		for _, q := range []float64{50, 95, 99} {
			fmt.Fprintf(w, "%s_p%.0f_us %d\n", name, q, own.h.ValueAtQuantile(q))
		}
		fmt.Fprintf(w, "%s_max_us %d\n", name, own.h.Max())
		return true
	})
}

func writeMap(w io.Writer, prefix string, m *expvar.Map) {
	m.Do(func(kv expvar.KeyValue) {
		if nested, ok := kv.Value.(*expvar.Map); ok {
			writeMap(w, prefix+kv.Key+".", nested)
			return
		}
		fmt.Fprintf(w, "%s%s %s\n", prefix, kv.Key, kv.Value)
	})
}

// SetFunc shows a value that is worked out when it is read.
func (s *Set) SetFunc(n Name, f func() any) { s.root.Set(string(n), expvar.Func(f)) }

// String renders the set as JSON.
func (s *Set) String() string { return s.root.String() }
