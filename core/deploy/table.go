package deploy

import (
	"net"
	"slices"
	"sort"
	"strings"

	"peridotpier.example/core/apikey"
)

// Table finds the route, service and team of a request. It is immutable and shared
// by all requests that were admitted under its version.
type Table struct {
	Config     *Config
	services   map[string]*Service
	byHost     map[string][]*Route // longest prefix first
	teams      map[apikey.Hash]*Team
	weights    map[string]float64 // by team
	urgencies  []urgency          // ascending, so that the most urgent come first
	priorities []int              // of the routes, ascending
}

// NewTable returns the table of a configuration, which must not be changed
// afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, services: map[string]*Service{}, byHost: map[string][]*Route{}, teams: map[apikey.Hash]*Team{}}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.teams[k] = &c.Teams[i]
		}
	}
	t.urgencies = urgenciesOf(c)
	t.weights = weightsOf(c)
	for i := range c.Routes {
		t.priorities = append(t.priorities, c.Routes[i].Priority)
	}
	slices.Sort(t.priorities)
	t.priorities = slices.Compact(t.priorities)
	return t
}

// Team returns the team that a key belongs to.
func (t *Table) Team(key apikey.Hash) (*Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// NeedsKey reports whether a request on a route must identify a team by a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Config.Teams) > 0 && !r.Public }

// urgency is the urgency of a team's requests on a route. The team's urgency takes
// precedence: requests of equally urgent teams are ordered by their routes.
type urgency struct{ team, route int }

func (a urgency) compare(b urgency) int {
	if a.team != b.team {
		return a.team - b.team
	}
	return a.route - b.route
}

// urgenciesOf returns all urgencies that a configuration allows, in ascending
// order.
func urgenciesOf(c *Config) []urgency {
	var out []urgency
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Public || len(c.Teams) == 0 { // requests without a team
			out = append(out, urgency{0, r.Priority})
		}
		for j := range c.Teams {
			out = append(out, urgency{c.Teams[j].Urgency, r.Priority})
		}
	}
	slices.SortFunc(out, urgency.compare)
	return slices.Compact(out)
}

// UrgencyRank returns the rank of a team's requests on a route among all urgencies
// of the configuration, 0 being the most urgent, and how many ranks there are.
// team may be nil.
func (t *Table) UrgencyRank(team *Team, r *Route) (rank, ranks int) {
	own := urgency{0, r.Priority}
	if team != nil {
		own.team = team.Urgency
	}
	at, _ := slices.BinarySearchFunc(t.urgencies, own, urgency.compare)
	return at, len(t.urgencies)
}

// RouteRank returns the rank of a route's priority among those of all routes, 0 being the
// most urgent. Unlike UrgencyRank it does not depend on the team.
func (t *Table) RouteRank(r *Route) int {
	at, _ := slices.BinarySearch(t.priorities, r.Priority)
	return at
}

// Match returns the route with the longest prefix of the path among those of the
// host name, or nil. The path is compared byte by byte: it is the one that upstreams receive,
// with its escapes.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ChooseService returns the service for one request by the route's weights; point
// is a number in [0, 1).
func (r *Route) ChooseService(point float64) string {
	sum := 0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	remaining := point * float64(sum)
	for _, s := range r.Splits {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
