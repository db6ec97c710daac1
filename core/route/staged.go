package route

import "peridotpier.example/core/class"

// Config tunes the staged picker. The zero value of a field takes its default.
type Config struct {
	Choices         int                  // endpoints compared for one pick, 1 to maxChoices
	MaxLoad         [class.Count]float64 // most load, as a multiple of MaxBatch, that a class still joins
	TypicalTokens   int                  // tokens of a typical answer, to predict how long a slot is held
	AffinityMaxLoad float64              // load, as a share of MaxBatch, above which a cached prefix counts nothing
	AffinityShare   float64              // part of the prefill that a cached prefix saves
	HomeShare       float64              // part of that saving credited to a prefix's home when no event vouches for it
}

// Defaults, with their reasons.
const (
	defaultChoices         = 2    // more choices herd on a stale report, one ignores it
	maxChoices             = 8    // bounds the work of one pick
	defaultAnswerTokens    = 128  // a short summary or classification
	defaultAffinityMaxLoad = 0.75 // past this a hit saves less than the queue behind it costs
	defaultAffinityShare   = 0.8  // the rest of the prompt is not shared
	defaultHomeShare       = 0.25 // a hint only: enough to break ties, never to outweigh a queue
	probesPerChoice        = 4    // random probes before the full pass
)

// defaultMaxLoad lets urgent work queue at an engine, since the engine's
// priorities put it in front, and bulk only fill free places.
var defaultMaxLoad = [class.Count]float64{class.Bulk: 1, class.Standard: 2, class.Urgent: 4}

// staged is the picker in use: filters, scorers, then power of two choices.
type staged struct {
	cfg     Config
	filters []filter
	scorers []scorer
}

// filter drops endpoints that must not be used for a request. Found keeps the
// endpoint; any other reason tells why it was dropped.
type filter interface {
	keep(e *Endpoint, r *Request) Reason
}

// scorer adds its share, in milliseconds, to the predicted time to first token.
type scorer interface {
	score(e *Endpoint, r *Request, home bool) float64
}

// New makes the staged picker.
func New(cfg Config) Picker {
	cfg = withDefaults(cfg)
	return &staged{
		cfg: cfg,
		// The map look-up last: the index by model makes it nearly always true.
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

// findCandidates lists the endpoints that hold the model, or all of the pool
// for a plain service.
func findCandidates(s *Snapshot, r *Request) []int32 {
	if r.PlainService {
		return s.ByPool[r.Pool]
	}
	return s.ByModel[r.Key]
}

// check runs the filters.
func (p *staged) check(e *Endpoint, r *Request) Reason {
	for _, f := range p.filters {
		if reason := f.keep(e, r); reason != Found {
			return reason
		}
	}
	return Found
}

// predict adds up the scorers.
func (p *staged) predict(e *Endpoint, r *Request, home bool) float64 {
	total := 0.0
	for _, s := range p.scorers {
		total += s.score(e, r, home)
	}
	return total
}
