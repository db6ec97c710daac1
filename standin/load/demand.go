// Package load imitates callers of several teams. It is open loop: arrival
// times are fixed in advance by a seed and demand curves, each request is
// sent at its time whatever became of the earlier ones, and its latency
// counts from the time at which it was meant to be sent, so that a slow system
// can't hide its slowness by slowing down the load. Every answer is checked
// to be whole and the caller's own, and every invocation is recorded.
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

// Kind is the way in which a source calls.
type Kind string

// The kinds of call.
const (
	KindStream       Kind = "stream"  // a generation, streamed
	KindNonStreaming Kind = "whole"   // a generation in one answer
	KindService      Kind = "service" // a service call that may be repeated
	KindOnce         Kind = "once"    // a service call that may not: it carries an idempotency key
)

// Point is a demand at a time; between two points it changes evenly.
type Point struct {
	AtSeconds float64 `json:"at_s"`
	PerSecond float64 `json:"per_second"`
}

// Burst multiplies demand for a while.
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

// At is the demand, in requests a second, at a time since the start.
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

// maxRate bounds the demand from above.
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

// Range is a size drawn evenly between two bounds.
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

// Source is one team's calls of one kind.
type Source struct {
	Team        string
	APIKey      string // API key
	Kind        Kind
	Class       class.Class
	Deadline    time.Duration // for the whole answer
	Model       string        // model or adapter; of generations
	Tokens      Range
	PromptBytes Range
	Prefixes    int // how many different beginnings its prompts share; 0: none
	Service     string
	Method      string
	Path        string // below the service
	Curve       Curve
}

// Arrival is one call and the time, since the start, at which it is sent.
type Arrival struct {
	ID          string
	Offset      time.Duration
	Source      *Source
	Tokens      int
	PromptBytes int
	Prefix      int // from 1; 0: none
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

// arrivals thins a steady Poisson process at the highest rate down to the curve.
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
			a.Prefix = 1 + int(math.Floor(math.Pow(rng.Float64(), 2)*float64(s.Prefixes))) // some are far more common than others
		}
		out = append(out, a)
	}
}

// prefixBytes is the length of a shared beginning, that of a usual system prompt.
const prefixBytes = 1024

// Prompt is the text that the arrival's caller sends: a beginning that it may
// share with others, its mark, and filling up to its size.
func (a *Arrival) Prompt() string {
	var b strings.Builder
	if a.Prefix > 0 {
		h := fnv.New32a()
		_, _ = h.Write([]byte(a.Source.Team + "/" + a.Source.Model + "/" + strconv.Itoa(a.Prefix))) // a hash takes any write
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
