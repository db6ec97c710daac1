package deploy

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request. It is immutable and shared by all
// requests that were admitted under its version.
type Table struct {
	Config   *Config
	services map[string]*Service
	byHost   map[string][]*Route // longest prefix first
}

// NewTable compiles a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, services: map[string]*Service{}, byHost: map[string][]*Route{}}
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
	return t
}

// Match returns the route with the longest prefix of the path among the
// host's, or nil.
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

// Service finds a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ServiceOf draws the service of one request by the route's weights; at is a
// number in [0, 1).
func (r *Route) ServiceOf(at float64) string {
	sum := 0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	left := at * float64(sum)
	for _, s := range r.Splits {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
