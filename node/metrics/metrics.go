// Package metrics holds the counters, gauges and histograms of a host. Each host has
// its own set, published in expvar's format on the operators' listener; several hosts
// in one process, as in the demo, do not share metrics.
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

// Counters by data centre (or service) and upstream. There are none by request, since
// the number of metrics must not grow with traffic.
const (
	Attempts   Name = "attempts_total"
	Refused    Name = "attempts_refused_total"
	Mismatched Name = "answers_crossed_total"
	// AnswersUnproven counts responses that are not proven to be those of the requests for which
	// they came.
	AnswersUnproven Name = "answers_unproven_total"
	// BackoffsRequested counts responses that asked this host to send nothing for a while.
	BackoffsRequested Name = "attempts_rest_asked_total"
	// BrittleRefusals counts refusals by upstreams that are brittle.
	BrittleRefusals Name = "attempts_refused_brittle_total"
	// ServiceRetries counts retries by service: charged to its budget, refused by it, sent, read late, and left unread.
	ServiceRetries Name = "service_retries_total"
	Resumed        Name = "streams_resumed_total"
)

// Counters and gauges of the whole host.
const (
	Requests       Name = "requests_total"
	Completed      Name = "requests_completed_total"
	NotRun         Name = "requests_not_run_total"
	OutcomeUnknown Name = "requests_unknown_total"
	Tokens         Name = "tokens_relayed_total"
	Retries        Name = "requests_sent_again_total"
	// ResponseEnds counts the ends of upstreams' responses, by framing and by whether the response was complete.
	ResponseEnds Name = "answer_ends_total"
	// AnswersUnprovenKinds counts the same as AnswersUnproven by class of status and by whose
	// they are.
	AnswersUnprovenKinds Name = "answers_unproven_kinds_total"
	CallerDisconnects    Name = "requests_left_by_caller_total"
	OverLimit            Name = "requests_over_limit_total" // refused since they were over their teams' limits, by rank of the route
	// LimitPromises and LimitPromisesKept count the times that this host, as the acting
	// coordinator, kept free for requests over their teams' limits, and those at which the
	// request came back.
	LimitPromises     Name = "limit_promises_made"
	LimitPromisesKept Name = "limit_promises_kept"
	BackedOff         Name = "requests_backed_off_total" // refused since all upstreams asked for a backoff
	InFlight          Name = "requests_in_flight"
	ConfigVersion     Name = "configuration_version"
	UnresolvedClaims  Name = "claims_unsettled"
	// UnresolvedClaimBytes is the size of the responses of the unresolved claims.
	UnresolvedClaimBytes Name = "claims_unsettled_bytes"
	HeapLive             Name = "memory_heap_live_bytes" // as of the last garbage collection
	Stacks               Name = "memory_stacks_bytes"
	Collections          Name = "memory_collections_total"
	Goroutines           Name = "goroutines"
)

// Counters of requests that go through another host.
const (
	DetoursSent    Name = "detours_sent_total"    // by how they ended: served, not_run, refused, lost, abandoned, no_host
	DetoursTaken   Name = "detours_taken_total"   // from other hosts
	DetoursRefused Name = "detours_refused_total" // of other hosts, by reason
)

// Counters and gauges of requests that crash upstreams.
const (
	UpstreamsTerminated Name = "upstreams_ended_total"     // with a request of this host in flight
	StreamsTakenUp      Name = "streams_taken_up_total"    // by callers, by what became of them
	OriginsKept         Name = "stream_origins"            // streams whose software version this host knows
	OriginsSent         Name = "stream_origins_sent_total" // to hosts that keep them, by whether they answered
	RequestsBarred      Name = "requests_barred_total"     // refused because they crash upstreams
	PoisonSuspects      Name = "poison_requests_suspected" // known to this host
	PoisonBarred        Name = "poison_requests_barred"    // known to this host
	// SuspectsDropped counts requests whose exchange with an upstream broke and which
	// are not suspected, since too much was pending, by reason.
	SuspectsDropped Name = "poison_suspects_dropped_total"
)

// Counters of the permits that this host granted as the acting coordinator.
const (
	// PermitsAhead counts permits granted before an earlier prompt's first event was reported.
	PermitsAhead Name = "permits_ahead_total"
	// LateStreamsExpected counts, in thousandths, the streams that granted prompts were
	// expected to make late.
	LateStreamsExpected Name = "streams_expected_late_permille_total"
)

// Counters and gauges of the host's way to the upstreams.
const (
	Partitioned         Name = "upstreams_unreachable"               // whether this host reaches no upstream now
	Partitions          Name = "upstream_partitions_total"           // how often it reached none
	PartitionSuspicions Name = "upstream_partitions_suspected_total" // how often trial connections had to tell
	TrialConnections    Name = "trial_connections_total"
)

// Counters and gauges of the callers' connections.
const (
	CallersClosedUnread Name = "caller_connections_closed_unread_total" // the processor could not serve them
	UnreadShare         Name = "caller_connections_closed_unread_share" // of new connections, now
	CallersAccepted     Name = "caller_connections_accepted_total"
	ClientsRefused      Name = "client_connections_refused_total"           // for want of room, by listener and by what ran out
	ClientConns         Name = "client_connections"                         // open now, by listeners
	ResponseBytes       Name = "response_bytes_held"                        // of answers that wait for their callers to read them
	ClientBytes         Name = "client_bytes_held"                          // of unfinished requests, by listeners
	CallersClosed       Name = "caller_connections_closed_total"            // by reason, or by the state in which the connection was closed
	CallersUnanswered   Name = "caller_connections_closed_unanswered_total" // by reason: with a request begun and not answered
	CallersOpen         Name = "caller_connections_open"
	CallersActive       Name = "caller_connections_under_way" // with at least part of a request that is not answered
)

// Counters and gauges of where models are.
const (
	ModelReplicas Name = "model_replicas" // by data centre; of the acting coordinator
	// ModelMoves counts moves by reason, and ModelReturns those of them that brought a model
	// back to an upstream which it had left within ten seconds.
	ModelMoves   Name = "model_moves_total"
	ModelReturns Name = "model_moves_back_total"
	// ModelRequests counts requests for models by the upstream's data centre: own, other.
	ModelRequests Name = "model_requests_total"
)

// Counters of traffic between hosts and with the platform's store, by kind.
const (
	// PeerBytes counts the bytes of reports, by kind, and of the responses to them, by
	// field.
	PeerBytes Name = "peer_bytes_total"
	// PeerCalls counts the calls that other hosts make to the acting coordinator.
	PeerCalls Name = "peer_calls_total"
	// StoreCalls counts calls to the platform's store, by table and reason.
	StoreCalls Name = "store_calls_total"
	// StoreEra is the newest era of the platform's store that this host has seen.
	StoreEra Name = "store_era"
)

// runtimeMetrics maps metrics to the Go runtime's metrics that they show.
var runtimeMetrics = map[Name]string{
	HeapLive:    "/gc/heap/live:bytes",
	Stacks:      "/memory/classes/heap/stacks:bytes",
	Collections: "/gc/cycles/total:gc-cycles",
	Goroutines:  "/sched/goroutines:goroutines",
}

// Gauges and counters of the requests that wait for a permit, at the acting coordinator.
const (
	PermitsWaiting      Name = "permits_waiting"
	PermitsTeamsWaiting Name = "permits_teams_waiting"       // teams and services with requests that wait
	PermitsOldestWait   Name = "permits_oldest_wait_ms"      // age of the oldest request that waits
	PermitsHopeless     Name = "permits_refused_early_total" // refused at arrival: they would wait in vain
)

// Set is the set of metrics of one host.
type Set struct {
	root   *expvar.Map
	mu     sync.Mutex // guards creation of nested maps
	tokens atomic.Int64

	histograms sync.Map // of *histogram by name and kind
}

// New creates an empty set.
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

// Add adds to a counter of one upstream, grouped by data centre or service.
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

// CountKind adds to one kind of a counter of the host. There must be few kinds.
func (s *Set) CountKind(n Name, kind string, by int64) { s.nested(s.root, string(n)).Add(kind, by) }

// CountsByKind returns the values of a counter of the host by kind.
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

// CountsByUpstream returns the values of a counter by "GROUP UPSTREAM".
func (s *Set) CountsByUpstream(n Name) map[string]int64 {
	out := map[string]int64{}
	groups, ok := s.root.Get(string(n)).(*expvar.Map)
	if !ok {
		return out
	}
	groups.Do(func(group expvar.KeyValue) {
		byUpstream, ok := group.Value.(*expvar.Map)
		if !ok {
			return
		}
		byUpstream.Do(func(kv expvar.KeyValue) {
			if v, ok := kv.Value.(*expvar.Int); ok {
				out[group.Key+" "+kv.Key] = v.Value()
			}
		})
	})
	return out
}

// AddTokens counts forwarded tokens; it is called for each token.
func (s *Set) AddTokens(by int) { s.tokens.Add(int64(by)) }

// Histograms of durations, by kind.
const (
	ResponseTime  Name = "answer_time"
	FirstByteTime Name = "first_byte_time"
	DetourTime    Name = "detour_time" // of a hop through another host, by how it ended
	ShutdownTime  Name = "stop_time"   // from the signal to the end of the process
)

// Range, in microseconds, and significant digits of the histograms.
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
	hist := t.(*histogram)
	hist.mu.Lock()
	defer hist.mu.Unlock()
	_ = hist.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail within the range
}

// WriteText writes all counters and histograms as lines "name value".
func (s *Set) WriteText(w io.Writer) {
	writeMap(w, "", s.root)
	s.histograms.Range(func(name, t any) bool {
		hist := t.(*histogram)
		hist.mu.Lock()
		defer hist.mu.Unlock()
		fmt.Fprintf(w, "%s_count %d\n", name, hist.h.TotalCount())
		for _, q := range []float64{50, 95, 99} {
			fmt.Fprintf(w, "%s_p%.0f_us %d\n", name, q, hist.h.ValueAtQuantile(q))
		}
		fmt.Fprintf(w, "%s_max_us %d\n", name, hist.h.Max())
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

// SetFunc publishes a metric whose value is computed when it is read.
func (s *Set) SetFunc(n Name, f func() any) { s.root.Set(string(n), expvar.Func(f)) }

// String returns the counters and gauges of the set as JSON.
func (s *Set) String() string { return s.root.String() }
