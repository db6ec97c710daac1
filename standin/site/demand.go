package site

import (
	"math"
	"path"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"peridotpier.example/core/class"
	"peridotpier.example/core/config"
	"peridotpier.example/standin/load"
)

// Demand is what callers ask for.
type Demand struct {
	// LengthSeconds is the length that the times below are meant for. A run of
	// another length stretches them, but not how long a burst lasts: an hour's
	// course is compressed, a burst within seconds stays one.
	LengthSeconds float64 `json:"length_s"`
	Lines         []Line  `json:"lines"`
}

// Line is one kind of call by some teams over some models or one service.
type Line struct {
	Teams       []string    `json:"teams"`
	Kind        load.Kind   `json:"kind"`
	Class       class.Class `json:"class"`
	DeadlineMs  int         `json:"deadline_ms"` // 0: the class's
	Models      []string    `json:"models,omitempty"`
	Zipf        float64     `json:"zipf,omitempty"`  // exponent of popularity over models, in the deployment's order
	Swing       float64     `json:"swing,omitempty"` // each model's demand moves by this factor within the length, each at its own time
	Tokens      load.Range  `json:"tokens"`
	PromptBytes load.Range  `json:"prompt_bytes"`
	Prefixes    int         `json:"prefixes,omitempty"`
	Service     string      `json:"service,omitempty"`
	Method      string      `json:"method,omitempty"`
	Path        string      `json:"path,omitempty"`
	Curve       load.Curve  `json:"curve"` // of all teams and models together
}

// swingSamples is how finely a model's swing is drawn.
const swingSamples = 24

// goldenRatioConjugate spreads the phases of swings so that models don't peak together.
const goldenRatioConjugate = 0.6180339887498949

// Sources spreads each line over its teams and models.
func (s *Site) Sources(length time.Duration) ([]load.Source, error) {
	if s.Demand.LengthSeconds <= 0 {
		return nil, eris.New("demand.length_s must be above 0")
	}
	stretch := length.Seconds() / s.Demand.LengthSeconds
	var out []load.Source
	for i := range s.Demand.Lines {
		l := &s.Demand.Lines[i]
		for n, name := range l.Teams {
			t := s.team(name)
			if t == nil {
				return nil, eris.Errorf("demand.lines[%d]: %q is no team of the deployment", i, name)
			}
			sources, err := s.lineSources(l, t, n, stretch, length)
			if err != nil {
				return nil, eris.Wrapf(err, "demand.lines[%d]", i)
			}
			out = append(out, sources...)
		}
	}
	return out, nil
}

func (s *Site) lineSources(l *Line, t *config.Team, teamIndex int, stretch float64, length time.Duration) ([]load.Source, error) {
	src := load.Source{Team: t.Name, APIKey: s.TeamKey(t.Name), Kind: l.Kind, Class: l.Class, Deadline: s.deadline(l),
		Tokens: l.Tokens, PromptBytes: l.PromptBytes, Prefixes: l.Prefixes, Service: l.Service, Method: l.Method, Path: l.Path}
	if l.Kind == load.KindService || l.Kind == load.KindOnce {
		src.Path = withLeadingSlash(l.Path)
		src.Curve = l.curve(1/float64(len(l.Teams)), 0, 1, stretch, length)
		return []load.Source{src}, nil
	}
	targets, err := s.targets(l, t)
	if err != nil {
		return nil, err
	}
	total := 0.0
	for rank := range targets {
		total += math.Pow(float64(rank+1), -l.Zipf)
	}
	var out []load.Source
	for rank, model := range targets {
		share := math.Pow(float64(rank+1), -l.Zipf) / total / float64(len(l.Teams))
		phase := math.Mod(float64(rank+1)*goldenRatioConjugate+float64(teamIndex)/24, 1) // teams of one trade peak nearly together
		src.Model = model
		src.Curve = l.curve(share, phase, max(l.Swing, 1), stretch, length)
		out = append(out, src)
	}
	return out, nil
}

func (s *Site) deadline(l *Line) time.Duration {
	if l.DeadlineMs > 0 {
		return ms(l.DeadlineMs)
	}
	for _, r := range s.Deployment.Classes {
		if r.Class == l.Class {
			return ms(r.DeadlineMs)
		}
	}
	return time.Minute
}

// targets are the team's models and adapters that match the line's patterns, in the order of the patterns.
func (s *Site) targets(l *Line, t *config.Team) ([]string, error) {
	var out []string
	seen := map[string]bool{}
	callable := s.callableModels(t)
	for _, pattern := range l.Models {
		for _, name := range callable {
			ok, err := path.Match(pattern, name)
			if err != nil {
				return nil, eris.Wrapf(err, "pattern %q", pattern)
			}
			if ok && !seen[name] {
				seen[name] = true
				out = append(out, name)
			}
		}
	}
	if len(out) == 0 {
		return nil, eris.Errorf("team %q may call none of the models %v", t.Name, l.Models)
	}
	return out, nil
}

// curve is the line's demand for one target: a share of it, swinging about its mean.
func (l *Line) curve(share, phase, swing, stretch float64, length time.Duration) load.Curve {
	base := load.Curve{Points: stretchPoints(l.Curve.Points, stretch)}
	out := load.Curve{}
	for i := 0; i <= swingSamples; i++ {
		x := float64(i) / swingSamples
		at := x * length.Seconds()
		factor := math.Pow(swing, 0.5*math.Sin(2*math.Pi*(x+phase))) / swingMean(swing)
		out.Points = append(out.Points, load.Point{AtSeconds: at, PerSecond: share * factor * base.At(time.Duration(at*float64(time.Second)))})
	}
	for _, b := range l.Curve.Bursts {
		b.AtSeconds *= stretch
		out.Bursts = append(out.Bursts, b)
	}
	return out
}

func stretchPoints(points []load.Point, by float64) []load.Point {
	out := make([]load.Point, len(points))
	for i, p := range points {
		out[i] = load.Point{AtSeconds: p.AtSeconds * by, PerSecond: p.PerSecond}
	}
	return out
}

// swingMean is the mean of a swing over its course, which is divided out so
// that a swing moves demand and does not add to it.
func swingMean(swing float64) float64 {
	sum := 0.0
	for i := range swingSamples {
		sum += math.Pow(swing, 0.5*math.Sin(2*math.Pi*float64(i)/swingSamples))
	}
	return sum / swingSamples
}

// WithScaledDemand is the site with its demand multiplied.
func (s *Site) WithScaledDemand(by float64) *Site {
	out := *s
	out.Demand.Lines = slices.Clone(s.Demand.Lines)
	for i := range out.Demand.Lines {
		l := &out.Demand.Lines[i]
		l.Curve.Points = slices.Clone(l.Curve.Points)
		for k := range l.Curve.Points {
			l.Curve.Points[k].PerSecond *= by
		}
	}
	return &out
}
