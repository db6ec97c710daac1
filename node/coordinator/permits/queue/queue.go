// Package queue holds the requests that wait at the acting coordinator for a permit, in the
// order of core/fairqueue: by rank, within a rank fairly by team, within a team by age.
//
// Requests wait by service and model, so that an event at an upstream tries those that the
// upstream can serve and no others; hundreds of requests for other models cannot use up the
// tries of an event. Teams share by what they are granted of one service, since upstreams of
// one service do not serve another.
//
// It has no lock and no clock: package permits guards it.
package queue

import (
	"maps"
	"slices"
	"time"

	"peridotpier.example/core/fairqueue"
)

// lowerRankShare is the share of a service's work that less urgent ranks which wait get
// together, while teams compete: the most that urgent teams pay so that a batch of the least
// urgent one ends some day. See core/fairqueue for the bound that follows from it.
const lowerRankShare = 1.0 / 32

// Request is a request to wait.
type Request struct {
	Service string
	Model   string // "": a call of a plain service
	Team    string // "": none
	Rank    int    // 0 is the most urgent
	Cost    float64
}

// Item is a waiting request with what permits keep for it.
type Item[T any] = fairqueue.Item[string, T]

// Queue holds the waiting requests of all services.
type Queue[T any] struct {
	services map[string]*service[T]
	weight   func(team string) float64
	teams    bool // whether the configuration has teams
	len      int
	at       int // rotation of the lines that ScanAll tries
}

// service holds the waiting requests of one service by model.
type service[T any] struct {
	*fairqueue.Queue[string, T]
	window   window
	outlooks map[string]*outlook // by model
}

// New returns an empty queue in which all teams weigh the same.
func New[T any]() *Queue[T] {
	return &Queue[T]{services: map[string]*service[T]{}, weight: equalWeights}
}

func equalWeights(string) float64 { return 1 }

// Configure sets the weights of the teams, for all that is granted from now on. Without
// teams the order is by rank and age.
func (q *Queue[T]) Configure(teams bool, weight func(team string) float64) {
	q.teams, q.weight = teams, weight
	for _, s := range q.services {
		s.SetReserve(q.reserve())
		s.Reweigh(weight)
	}
}

// HasTeams reports whether the configuration has teams.
func (q *Queue[T]) HasTeams() bool { return q.teams }

func (q *Queue[T]) reserve() float64 {
	if q.teams {
		return lowerRankShare
	}
	return 0
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.len }

func (q *Queue[T]) service(name string) *service[T] {
	s := q.services[name]
	if s == nil {
		s = &service[T]{Queue: fairqueue.New[string, T](fairqueue.Config{Reserve: q.reserve()}), outlooks: map[string]*outlook{}}
		q.services[name] = s
	}
	return s
}

func (q *Queue[T]) request(r Request) fairqueue.Request {
	return fairqueue.Request{Rank: r.Rank, Team: r.Team, Weight: q.weight(r.Team), Cost: r.Cost}
}

// Push adds a request.
func (q *Queue[T]) Push(r Request, value T, now time.Time) *Item[T] {
	s := q.service(r.Service)
	s.window.asked(r.Team, r.Cost, now)
	q.len++
	s.outlook(r.Model).waits(true, now)
	return s.Push(r.Model, q.request(r), value)
}

// Remove removes a request that waits in a service.
func (q *Queue[T]) Remove(service, model string, it *Item[T], now time.Time) {
	if s := q.services[service]; s != nil && s.Remove(it) {
		q.len--
		s.outlook(model).waits(s.HasLine(model), now)
	}
}

// Charge records a request that was granted without waiting.
func (q *Queue[T]) Charge(r Request, now time.Time) {
	s := q.service(r.Service)
	s.window.asked(r.Team, r.Cost, now)
	s.window.granted(r.Team, r.Cost, now)
	if o := s.outlooks[r.Model]; o != nil {
		o.granted(now)
	}
	s.Charge(r.Model, q.request(r))
}

// Refuse reports whether a new request will probably not be granted while its caller waits,
// and after what time it should return.
func (q *Queue[T]) Refuse(r Request, maxWait time.Duration, now time.Time) (after time.Duration, hopeless bool) {
	s := q.services[r.Service]
	if s == nil || s.outlooks[r.Model] == nil {
		return 0, false
	}
	return s.outlooks[r.Model].refuse(q.Ahead(r), maxWait, now)
}

func (s *service[T]) outlook(model string) *outlook {
	o := s.outlooks[model]
	if o == nil {
		o = &outlook{}
		s.outlooks[model] = o
	}
	return o
}

// Ahead returns how many requests would be granted before a new one.
func (q *Queue[T]) Ahead(r Request) int {
	s := q.services[r.Service]
	if s == nil {
		return 0
	}
	n, _ := s.Ahead(r.Model, q.request(r))
	return n
}

// Scan says how waiting requests are tried.
type Scan[T any] struct {
	Now  time.Time
	Late func(T) bool
	// Try returns true if the request waits no more. cost is what it was granted; 0: it was
	// refused.
	Try func(T) (done bool, cost float64)
}

// maxTries bounds how many waiting requests are tried for one event.
const maxTries = 48

// ScanModels tries the requests of a service that wait for one of some models.
func (q *Queue[T]) ScanModels(service string, models []string, scan Scan[T]) {
	if s := q.services[service]; s != nil && s.Len() > 0 {
		q.scan(s, models, maxTries, scan)
	}
}

// scan returns how many requests it tried.
func (q *Queue[T]) scan(s *service[T], models []string, limit int, scan Scan[T]) (tried int) {
	s.Scan(models, fairqueue.Scan[string, T]{Limit: limit,
		Late: func(it *Item[T]) bool { return scan.Late(it.Value) },
		Try: func(it *Item[T]) (fairqueue.Verdict, float64) {
			tried++
			done, cost := scan.Try(it.Value)
			if !done {
				return fairqueue.Kept, 0
			}
			q.len--
			if cost > 0 {
				s.window.granted(it.Request().Team, cost, scan.Now)
				s.outlook(it.Line()).granted(scan.Now)
			}
			return fairqueue.Taken, cost
		}})
	for _, model := range models {
		if o := s.outlooks[model]; o != nil {
			o.waits(s.HasLine(model), scan.Now)
		}
	}
	return tried
}

// ScanAll tries waiting requests of all services: all of them, in their order, if they are no
// more than one event may try; else some of each line, and of other lines the next time, so
// that no line waits because others hold more requests.
func (q *Queue[T]) ScanAll(scan Scan[T]) {
	if q.len == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(q.services))
	if q.len <= maxTries {
		for _, name := range names {
			q.ScanModels(name, q.services[name].Lines(), scan)
		}
		return
	}
	type line struct {
		s     *service[T]
		model string
	}
	var lines []line
	for _, name := range names {
		for _, model := range slices.Sorted(slices.Values(q.services[name].Lines())) {
			lines = append(lines, line{q.services[name], model})
		}
	}
	each := max(maxTries/len(lines), 1)
	for tried, n := 0, 0; tried < maxTries && n < len(lines); n++ {
		at := lines[q.at%len(lines)]
		q.at++
		tried += q.scan(at.s, []string{at.model}, min(each, maxTries-tried), scan)
	}
}
