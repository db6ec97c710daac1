package route

import "peridotpier.example/core/class"

// Config configures the staged picker. Fields with a zero value get their defaults.
type Config struct {
	Choices         int                  // endpoints compared for one pick, 1 to maxChoices
	MaxLoad         [class.Count]float64 // load, as a multiple of MaxBatch, from which on a class is not accepted
	TypicalTokens   int                  // tokens of a typical answer, to predict how long a slot is held
	AffinityMaxLoad float64              // load, as a share of MaxBatch, from which on a cached prefix gives no credit
	AffinityShare   float64              // share of the prefill that a cached prefix saves
	HomeShare       float64              // share of that saving credited to a prefix's home while no cache event confirms one
}

// Default values.
const (
	defaultChoices         = 2    // with more choices hosts with a stale report choose the same endpoint; with one the load is ignored
	maxChoices             = 8    // bounds the work of one pick
	defaultAnswerTokens    = 128  // a short summary or classification
	defaultAffinityMaxLoad = 0.75 // above this load, a hit saves less than the queue costs
	defaultAffinityShare   = 0.8  // the remainder of the prompt is not shared
	defaultHomeShare       = 0.25 // only a hint: enough to break ties, but never to outweigh a queue
	probesPerChoice        = 4    // random probes before the full scan
)

// defaultMaxLoad lets urgent requests queue at an engine, because the engine's priorities
// put them first, and lets bulk requests only fill free slots.
var defaultMaxLoad = [class.Count]float64{class.Bulk: 1, class.Standard: 2, class.Urgent: 4}

// staged is the standard picker: filters, scorers, then power of two choices.
type staged struct {
	cfg     Config
	filters []filter
	scorers []scorer
}

// filter removes endpoints that must not be used for a request. keep returns Found to keep
// the endpoint, or the reason why it is removed.
type filter interface {
	keep(e *Endpoint, r *Request) Reason
}

// scorer adds its part, in milliseconds, to the predicted time of the answer. home is
// whether e is the home endpoint of the request's prefix.
type scorer interface {
	score(e *Endpoint, r *Request, home bool) float64
}

// New returns the staged picker.
func New(cfg Config) Picker {
	cfg = withDefaults(cfg)
	return &staged{
		cfg: cfg,
		// readyFilter looks up a map and comes last: the index by model makes it nearly always true.
		filters: []filter{drainingFilter{}, downFilter{}, loadFilter{cfg.MaxLoad}, excludedFilter{}, readyFilter{}},
		scorers: []scorer{firstTokenScorer{cfg.TypicalTokens}, lengthScorer{}, distanceScorer{}, affinityScorer{cfg}},
	}
}

func withDefaults(c Config) Config {
	if c.Choices <= 0 {
		c.Choices = defaultChoices
	}
	c.Choices = min(c.Choices, maxChoices)
	for i := range c.MaxLoad {
		if c.MaxLoad[i] <= 0 {
			c.MaxLoad[i] = defaultMaxLoad[i]
		}
	}
	if c.TypicalTokens <= 0 {
		c.TypicalTokens = defaultAnswerTokens
	}
	if c.AffinityMaxLoad <= 0 {
		c.AffinityMaxLoad = defaultAffinityMaxLoad
	}
	if c.AffinityShare <= 0 {
		c.AffinityShare = defaultAffinityShare
	}
	if c.HomeShare <= 0 {
		c.HomeShare = defaultHomeShare
	}
	return c
}

// Pick implements Picker.
func (p *staged) Pick(s *Snapshot, r *Request, src Source) Decision {
	candidates := findCandidates(s, r)
	if len(candidates) == 0 {
		return Decision{Index: -1, Reason: NoReplica}
	}
	if r.deadlineUnreachable() {
		return Decision{Index: -1, Reason: DeadlineUnreachable}
	}
	c := selection{p: p, s: s, r: r, best: Decision{Index: -1}, home: homeEndpoint(candidates, r.Prefix)}
	if r.Prefix != 0 {
		c.consider(c.home)
		c.consider(prefixHolder(s, candidates, r.Prefix))
	}
	reason := c.sampleRandom(candidates, src)
	if c.best.Index < 0 {
		c.best.Reason = reason
	}
	return c.best
}

// findCandidates returns the endpoints that have the model, or for a plain service all
// endpoints of the pool.
func findCandidates(s *Snapshot, r *Request) []int32 {
	if r.PlainService {
		return s.ByPool[r.Pool]
	}
	return s.ByModel[r.Key]
}

// check applies the filters. It returns Found if all of them keep the endpoint.
func (p *staged) check(e *Endpoint, r *Request) Reason {
	for _, f := range p.filters {
		if reason := f.keep(e, r); reason != Found {
			return reason
		}
	}
	return Found
}

// predict returns the sum of the scores.
func (p *staged) predict(e *Endpoint, r *Request, home bool) float64 {
	total := 0.0
	for _, s := range p.scorers {
		total += s.score(e, r, home)
	}
	return total
}
