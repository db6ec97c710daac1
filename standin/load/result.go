package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotpier.example/core/class"
	"peridotpier.example/core/outcome"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
	"peridotpier.example/standin/service"
)

// Range, in microseconds, and precision of the histograms.
const (
	histMin    = 1
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

// Latency holds the latencies of one class, in microseconds.
type Latency struct {
	FirstToken *hdrhistogram.Histogram // to the first token
	InterToken *hdrhistogram.Histogram // between tokens
	Total      *hdrhistogram.Histogram
}

func newLatency() Latency {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histMin, histMax, histDigits) }
	return Latency{FirstToken: h(), InterToken: h(), Total: h()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histMin), histMax)) // in range by construction
}

// Result is the outcome of a run as its callers saw it.
type Result struct {
	mu          sync.Mutex
	Invocations []*Invocation
	Latency     [class.Count]Latency
	Elapsed     time.Duration
}

func newResult(size int) *Result {
	r := &Result{Invocations: make([]*Invocation, 0, size)}
	for i := range r.Latency {
		r.Latency[i] = newLatency()
	}
	return r
}

func (r *Result) add(v *Invocation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Invocations = append(r.Invocations, v)
	l := &r.Latency[v.Arrival.Source.Class]
	if v.TimeToFirstToken > 0 {
		record(l.FirstToken, v.TimeToFirstToken)
	}
	if v.Verdict == VerdictComplete {
		record(l.Total, v.Total)
	}
	for _, g := range v.gaps {
		record(l.InterToken, g)
	}
	v.gaps = nil
}

// Quantiles holds quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// QuantilesOf returns the quantiles of a histogram of microseconds.
func QuantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{ms(50), ms(95), ms(99)}
}

// ClassCounts holds the figures of one class.
type ClassCounts struct {
	Requests     int       `json:"requests"`
	Met          int       `json:"met"`        // answered completely within their deadline
	Attainment   float64   `json:"attainment"` // share of the requests that were met
	FirstTokenMs Quantiles `json:"first_token_ms"`
	InterTokenMs Quantiles `json:"inter_token_ms"`
	TotalMs      Quantiles `json:"total_ms"`
}

// Counts holds the figures of a run, computed only from the records of callers and
// stand-ins.
type Counts struct {
	Requests     int                    `json:"requests"`
	Completed    int                    `json:"completed"`
	NotRun       int                    `json:"not_run"`
	Unknown      int                    `json:"unknown"`
	Lost         int                    `json:"lost"`
	Duplicated   int                    `json:"doubled"`
	Truncated    int                    `json:"cut"`
	Mismatched   int                    `json:"crossed"`
	FalseNotRun  int                    `json:"not_run_but_ran"`
	Abandoned    int                    `json:"left"`    // the caller gave up while the answer was still coming
	Skipped      int                    `json:"skipped"` // not sent, because the generator was at its maximum; counts as a missed deadline
	Retries      int                    `json:"retries"`
	Attainment   float64                `json:"attainment"`
	FirstTokenMs Quantiles              `json:"first_token_ms"`
	ByClass      map[string]ClassCounts `json:"by_class"`
	Missed       map[string]int         `json:"missed"` // requests that did not meet their deadline, by class and how they ended
}

// Effect is one execution as the stand-in of an upstream recorded it.
type Effect struct {
	Invocation string
	Team       string
	Attempt    string
	Key        string
	Upstream   string
	Start      time.Time
	End        time.Time // zero: not ended, or not completed
	Once       bool      // at a plain service
	Answer     uint64    // at a plain service: the digest of the answer, to compare with Invocation.Digest
}

// EngineEffects returns the generations that an engine began to compute.
func EngineEffects(name string, rec engine.Records) []Effect {
	var out []Effect
	for _, x := range rec.Executions {
		if x.Started.IsZero() {
			continue
		}
		e := Effect{Invocation: x.Invocation, Team: x.Team, Attempt: x.Attempt, Upstream: name, Start: x.Started}
		if x.State == engineapi.AttemptCompleted {
			e.End = x.Ended
		}
		out = append(out, e)
	}
	return out
}

// ServiceEffects returns the calls that a plain service executed.
func ServiceEffects(name string, rec []service.Execution) []Effect {
	var out []Effect
	for _, x := range rec {
		out = append(out, Effect{Invocation: x.Invocation, Team: x.Team, Attempt: x.Attempt, Key: x.IdempotencyKey,
			Upstream: name, Start: x.Started, End: x.Ended, Answer: x.AnswerDigest, Once: true})
	}
	return out
}

// Count joins the records of the callers with those of the upstreams.
func (r *Result) Count(effects []Effect) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := map[string]int{}
	for _, e := range effects {
		ran[e.Invocation]++
	}
	c := Counts{Requests: len(r.Invocations), ByClass: map[string]ClassCounts{}, Missed: map[string]int{}}
	var byClass [class.Count]ClassCounts
	met := 0
	for _, v := range r.Invocations {
		c.add(v, ran[v.Arrival.ID])
		k := &byClass[v.Arrival.Source.Class]
		k.Requests++
		if v.MetDeadline() {
			k.Met++
			met++
		} else {
			c.Missed[v.Arrival.Source.Class.String()+" "+v.ending()]++
		}
	}
	c.Attainment = share(met, c.Requests)
	first := hdrhistogram.New(histMin, histMax, histDigits)
	for i := range byClass {
		k, l := &byClass[i], r.Latency[i]
		first.Merge(l.FirstToken)
		k.Attainment = share(k.Met, k.Requests)
		k.FirstTokenMs, k.InterTokenMs, k.TotalMs = QuantilesOf(l.FirstToken), QuantilesOf(l.InterToken), QuantilesOf(l.Total)
		c.ByClass[class.Class(i).String()] = *k
	}
	c.FirstTokenMs = QuantilesOf(first)
	return c
}

func (c *Counts) add(v *Invocation, ran int) {
	c.Retries += max(len(v.Tries)-1, 0)
	switch {
	case v.Skipped:
		c.Skipped++
	case v.Verdict == VerdictComplete:
		c.Completed++
	case v.Verdict == VerdictTruncated:
		c.Truncated++
	case v.Verdict == VerdictMismatched:
		c.Mismatched++
	case v.Verdict == VerdictAbandoned:
		c.Abandoned++
	case v.Lost():
		c.Lost++
	case v.Outcome == outcome.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
	if v.Key != "" && ran > 1 {
		c.Duplicated++
	}
	if v.AllTriesNotRun() && ran > 0 {
		c.FalseNotRun++
	}
}

func share(part, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(part) / float64(of)
}
