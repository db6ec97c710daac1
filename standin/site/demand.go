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

// Demand describes the requests of a site's callers over time.
type Demand struct {
	// LengthSeconds is the length of a run to which the times in Lines refer. A run
	// of another length scales these times, but not the duration of bursts: the
	// course of an hour is compressed, while a burst of seconds still takes seconds.
	LengthSeconds float64 `json:"length_s"`
	Lines         []Line  `json:"lines"`
}

// Line describes the calls of one kind by some teams to some models or to one service.
type Line struct {
	Teams       []string    `json:"teams"`
	Kind        load.Kind   `json:"kind"`
	Class       class.Class `json:"class"`
	DeadlineMs  int         `json:"deadline_ms"` // 0: the deadline of the class
	Models      []string    `json:"models,omitempty"`
	Zipf        float64     `json:"zipf,omitempty"`  // Zipf exponent of the popularity of the matching models, most popular first
	Swing       float64     `json:"swing,omitempty"` // ratio of peak to lowest demand of each model within the length; models peak at different times
	Tokens      load.Range  `json:"tokens"`
	PromptBytes load.Range  `json:"prompt_bytes"`
	Prefixes    int         `json:"prefixes,omitempty"`
	Service     string      `json:"service,omitempty"`
	Method      string      `json:"method,omitempty"`
	Path        string      `json:"path,omitempty"`
	Curve       load.Curve  `json:"curve"` // rate of all teams and models together
}

// swingSamples is the number of points that approximate the swing of a model's demand.
const swingSamples = 24

// goldenRatioConjugate spaces the phases of the models' swings so that models don't
// peak together.
const goldenRatioConjugate = 0.6180339887498949

// Sources returns the traffic sources of a run of the given length: each line's demand
// divided among its teams and models.
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
		phase := math.Mod(float64(rank+1)*goldenRatioConjugate+float64(teamIndex)/24, 1) // teams of one line peak at nearly the same time
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

// targets returns the models and adapters that the team may call and that match the
// line's patterns, in the order of the patterns.
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

// curve returns the rate of the line's demand for one target: the given share of the
// line's curve, varied around its mean by the swing. Times are scaled by stretch.
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

// swingMean returns the mean of a swing over its whole period. Demand is divided by
// it, so that a swing shifts demand in time without adding to it.
func swingMean(swing float64) float64 {
	sum := 0.0
	for i := range swingSamples {
		sum += math.Pow(swing, 0.5*math.Sin(2*math.Pi*float64(i)/swingSamples))
	}
	return sum / swingSamples
}

// WithScaledDemand returns a copy of the site with the rates of its demand multiplied
// by a factor.
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
