package queue

import (
	"cmp"
	"slices"
	"time"

	"peridotpier.example/core/fairqueue"
)

// windowSpan is the time over which shares are compared: long enough for some requests of
// each team, short enough that an operator sees the present. The figures are of the last one
// to two spans.
const windowSpan = 5 * time.Second

// window counts what teams asked for and were granted lately.
type window struct {
	began         time.Time
	current, last map[string]work
}

// work is in the unit of the requests' costs.
type work struct{ asked, granted float64 }

func (w *window) advance(now time.Time) {
	if since := now.Sub(w.began); since >= 2*windowSpan || w.current == nil {
		w.began, w.current, w.last = now, map[string]work{}, nil
	} else if since >= windowSpan {
		w.began, w.current, w.last = now, make(map[string]work, len(w.current)), w.current
	}
}

func (w *window) asked(team string, cost float64, now time.Time) {
	w.advance(now)
	x := w.current[team]
	x.asked += cost
	w.current[team] = x
}

func (w *window) granted(team string, cost float64, now time.Time) {
	w.advance(now)
	x := w.current[team]
	x.granted += cost
	w.current[team] = x
}

// of returns what a team asked for and was granted in the window.
func (w *window) of(team string) work {
	a, b := w.current[team], w.last[team]
	return work{a.asked + b.asked, a.granted + b.granted}
}

// TeamStatus describes the requests of a team that wait in one service.
type TeamStatus struct {
	Service  string        `json:"service"`
	Team     string        `json:"team"` // "": requests without a team
	Waiting  int           `json:"waiting"`
	Oldest   time.Time     `json:"-"`         // when the oldest of them arrived
	OldestMs int64         `json:"oldest_ms"` // its age
	Weight   float64       `json:"weight"`
	Share    float64       `json:"share"`   // the team's part of the weights of the teams that asked lately
	Granted  float64       `json:"granted"` // its part of the work that was granted lately
	Asked    float64       `json:"asked"`   // its part of the work that was asked for lately
	Lines    []LineWaiting `json:"lines"`
}

// LineWaiting is how many requests of a team wait for one model in one rank.
type LineWaiting struct {
	Model   string `json:"model"` // "": a call of a plain service
	Rank    int    `json:"rank"`
	Waiting int    `json:"waiting"`
}

// Status describes who waits, the longest queue first. since returns when a request arrived.
func (q *Queue[T]) Status(now time.Time, since func(T) time.Time) []TeamStatus {
	var out []TeamStatus
	for name, s := range q.services {
		if s.Len() > 0 {
			out = append(out, s.status(name, q.weight, now, since)...)
		}
	}
	slices.SortFunc(out, func(a, b TeamStatus) int {
		return cmp.Or(b.Waiting-a.Waiting, cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return out
}

func (s *service[T]) status(name string, weight func(string) float64, now time.Time, since func(T) time.Time) []TeamStatus {
	teams := map[string]*TeamStatus{}
	s.Flows(func(f fairqueue.Flow[string, T]) {
		t := teams[f.Team]
		if t == nil {
			t = &TeamStatus{Service: name, Team: f.Team, Weight: f.Weight, Oldest: now}
			teams[f.Team] = t
		}
		t.Waiting += f.Waiting
		if at := since(f.Oldest.Value); at.Before(t.Oldest) {
			t.Oldest, t.OldestMs = at, now.Sub(at).Milliseconds()
		}
		t.Lines = append(t.Lines, LineWaiting{Model: f.Line, Rank: f.Rank, Waiting: f.Waiting})
	})
	s.window.advance(now)
	weights, sum := s.window.sums(weight)
	out := make([]TeamStatus, 0, len(teams))
	for _, t := range teams {
		own := s.window.of(t.Team)
		t.Share, t.Granted, t.Asked = part(t.Weight, weights), part(own.granted, sum.granted), part(own.asked, sum.asked)
		slices.SortFunc(t.Lines, func(a, b LineWaiting) int {
			return cmp.Or(a.Rank-b.Rank, cmp.Compare(a.Model, b.Model), a.Waiting-b.Waiting)
		})
		out = append(out, *t)
	}
	return out
}

// sums returns the weights of the teams of a window, and what they asked for and were granted.
func (w *window) sums(weight func(string) float64) (weights float64, all work) {
	add := func(team string, x work) { all = work{all.asked + x.asked, all.granted + x.granted} }
	for team, x := range w.current {
		add(team, x)
		weights += weight(team)
	}
	for team, x := range w.last {
		add(team, x)
		if _, counted := w.current[team]; !counted {
			weights += weight(team)
		}
	}
	return weights, all
}

func part(of, sum float64) float64 {
	if sum <= 0 {
		return 0
	}
	return min(of/sum, 1)
}

// HadItsShare reports whether a team waits although it was granted its share of what several
// teams competed for.
func (t *TeamStatus) HadItsShare() bool {
	return t.Share > 0 && t.Share < 1 && t.Granted >= t.Share && t.Asked > t.Granted
}
