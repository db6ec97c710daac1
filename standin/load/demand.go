// Package load imitates the callers of several teams. It is an open-loop load
// generator: arrival times are fixed in advance by a seed and demand curves, each
// request is sent at its time whatever happened to the earlier ones, and its
// latency is measured from the time at which it was due, so that a slow system
// cannot hide its latency by slowing down the load (coordinated omission). Every
// answer is checked to be complete and to belong to its call, and every invocation
// is recorded.
package load

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"peridotpier.example/core/class"
	"peridotpier.example/standin/answer"
)

// Kind is the kind of calls that a source sends.
type Kind string

// Kinds of calls.
const (
	KindStream       Kind = "stream"  // a generation that is streamed
	KindNonStreaming Kind = "whole"   // a generation in one answer
	KindService      Kind = "service" // a service call that may be repeated
	KindOnce         Kind = "once"    // a service call that may not be repeated: it carries an idempotency key
)

// Point is the demand at one time. Between two points the demand is interpolated
// linearly.
type Point struct {
	AtSeconds float64 `json:"at_s"`
	PerSecond float64 `json:"per_second"`
}

// Burst multiplies the demand for a time.
type Burst struct {
	AtSeconds  float64 `json:"at_s"`
	ForSeconds float64 `json:"for_s"`
	Factor     float64 `json:"times"`
}

// Curve is demand over time.
type Curve struct {
	Points []Point `json:"points"`
	Bursts []Burst `json:"bursts,omitempty"`
}

// At returns the demand, in requests per second, at a time since the start.
func (c Curve) At(t time.Duration) float64 {
	s, rate := t.Seconds(), 0.0
	for i, p := range c.Points {
		if s < p.AtSeconds && i > 0 {
			q := c.Points[i-1]
			rate = q.PerSecond + (p.PerSecond-q.PerSecond)*(s-q.AtSeconds)/(p.AtSeconds-q.AtSeconds)
			break
		}
		rate = p.PerSecond
		if s < p.AtSeconds {
			break
		}
	}
	for _, b := range c.Bursts {
		if s >= b.AtSeconds && s < b.AtSeconds+b.ForSeconds {
			rate *= b.Factor
		}
	}
	return rate
}

// maxRate returns an upper bound of the demand.
func (c Curve) maxRate() float64 {
	maxRate := 0.0
	for _, p := range c.Points {
		maxRate = math.Max(maxRate, p.PerSecond)
	}
	for _, b := range c.Bursts {
		maxRate *= math.Max(b.Factor, 1)
	}
	return maxRate
}

// Range is a size that is drawn uniformly between two bounds, both included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

func (r Range) draw(rng *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + rng.IntN(r.Max-r.Min+1)
}

// Source describes the calls of one team and kind.
type Source struct {
	Team        string
	APIKey      string
	Kind        Kind
	Class       class.Class
	Deadline    time.Duration // for the complete answer
	Model       string        // model or adapter, for generations
	Tokens      Range
	PromptBytes Range
	Prefixes    int // number of different prefixes that its prompts share; 0: none
	Service     string
	Method      string
	Path        string // below the service
	Curve       Curve
}

// Arrival is one call and the time at which it is due.
type Arrival struct {
	ID          string
	Offset      time.Duration // since the start of the run
	Source      *Source
	Tokens      int
	PromptBytes int
	Prefix      int // number of the shared prefix, from 1; 0: none
}

// Plan draws all arrivals of a run. The same seed gives the same plan.
func Plan(seed uint64, length time.Duration, sources []Source) []Arrival {
	var plan []Arrival
	for i := range sources {
		plan = append(plan, sources[i].arrivals(seed, uint64(i), length)...)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].Offset < plan[j].Offset })
	for i := range plan {
		plan[i].ID = strconv.FormatUint(seed, 36) + "-" + strconv.Itoa(i)
	}
	return plan
}

// arrivals draws from a Poisson process at the maximum rate and thins it to the
// curve.
func (s *Source) arrivals(seed, index uint64, length time.Duration) []Arrival {
	rng := rand.New(rand.NewPCG(seed, index*2+1))
	maxRate := s.Curve.maxRate()
	if maxRate <= 0 {
		return nil
	}
	var out []Arrival
	for t := 0.0; ; {
		t += rng.ExpFloat64() / maxRate
		at := time.Duration(t * float64(time.Second))
		if at >= length {
			return out
		}
		if rng.Float64()*maxRate >= s.Curve.At(at) {
			continue
		}
		a := Arrival{Offset: at, Source: s, Tokens: max(s.Tokens.draw(rng), 1), PromptBytes: s.PromptBytes.draw(rng)}
		if s.Prefixes > 0 {
			a.Prefix = 1 + int(math.Floor(math.Pow(rng.Float64(), 2)*float64(s.Prefixes))) // low numbers are far more common
		}
		out = append(out, a)
	}
}

// prefixBytes is the length of a shared prefix, that of a usual system prompt.
const prefixBytes = 1024

// Prompt returns the text that the caller sends: a prefix that it may share with
// others, its mark, and padding up to its size.
func (a *Arrival) Prompt() string {
	var b strings.Builder
	if a.Prefix > 0 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(a.Source.Team + "/" + a.Source.Model + "/" + strconv.Itoa(a.Prefix))) // writing to a hash cannot fail
		unit := "rules " + strconv.FormatUint(uint64(h.Sum32()), 36) + ". "
		for b.Len() < prefixBytes {
			b.WriteString(unit)
		}
	}
	b.WriteString(answer.Mark(a.Source.Team, a.ID))
	for b.Len() < a.PromptBytes {
		b.WriteString(" valve button")
	}
	return b.String()
}
