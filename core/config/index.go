package config

import (
	"net/http"
	"strings"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/class"
)

// Wildcard in a team's list allows every model or service.
const Wildcard = "*"

// Target is what the model name of a request refers to.
type Target struct {
	Model   string
	Adapter string // "" for the base model
	Pool    string
	// TokensPerSecond is the speed of a single stream of the model on an otherwise
	// idle engine; 0: not stated.
	TokensPerSecond int
}

// Index looks up the parts of a Config without scanning it. It is immutable.
type Index struct {
	*Config
	targets   map[string]Target
	teams     map[apikey.Hash]*Team
	services  map[string]*Service
	upstreams map[string]*Upstream
	presets   map[string]*Preset
	allowed   map[string]map[string]bool // team -> model, adapter or "service/"+name
	rules     [class.Count]ClassRule     // by class
}

const servicePrefix = "service/"

// NewIndex indexes a valid configuration, which must not change afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{Config: c, targets: map[string]Target{}, teams: map[apikey.Hash]*Team{}, services: map[string]*Service{},
		upstreams: map[string]*Upstream{}, presets: map[string]*Preset{}, allowed: map[string]map[string]bool{}}
	for _, m := range c.Models {
		x.targets[m.Name] = Target{Model: m.Name, Pool: m.Pool, TokensPerSecond: m.TokensPerSecond}
	}
	for _, a := range c.Adapters {
		base := x.targets[a.Model]
		x.targets[a.Name] = Target{Model: a.Model, Adapter: a.Name, Pool: base.Pool, TokensPerSecond: base.TokensPerSecond}
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Upstreams {
		x.upstreams[c.Upstreams[i].Name] = &c.Upstreams[i]
	}
	for i := range c.Presets {
		x.presets[c.Presets[i].Name] = &c.Presets[i]
	}
	for _, r := range c.Classes {
		x.rules[r.Class] = r
	}
	for i := range c.Teams {
		x.addTeam(&c.Teams[i])
	}
	return x
}

func (x *Index) addTeam(t *Team) {
	for _, text := range t.KeyHashes {
		if h, err := apikey.Parse(text); err == nil { // Validate refuses a configuration with invalid hashes
			x.teams[h] = t
		}
	}
	set := map[string]bool{}
	for _, m := range t.Models {
		set[m] = true
	}
	for _, s := range t.Services {
		set[servicePrefix+s] = true
	}
	x.allowed[t.Name] = set
}

// TeamByKey returns the team that a key belongs to.
func (x *Index) TeamByKey(key apikey.Hash) (*Team, bool) { t, ok := x.teams[key]; return t, ok }

// Target resolves a model or adapter name for a team. A model that the team may
// not call is not found, just like one that does not exist, since the answer must
// not reveal to a team what others have.
func (x *Index) Target(team, name string) (Target, bool) {
	t, ok := x.targets[name]
	set := x.allowed[team]
	return t, ok && (set[name] || set[Wildcard])
}

// Service resolves a service for a team, under the same rule as Target.
func (x *Index) Service(team, name string) (*Service, bool) {
	s, ok := x.services[name]
	set := x.allowed[team]
	return s, ok && (set[servicePrefix+name] || set[servicePrefix+Wildcard])
}

// Upstream returns the upstream with the given name.
func (x *Index) Upstream(name string) (*Upstream, bool) { u, ok := x.upstreams[name]; return u, ok }

// Preset returns the preset with the given name.
func (x *Index) Preset(name string) (*Preset, bool) { p, ok := x.presets[name]; return p, ok }

// Rule returns the rule of a class.
func (x *Index) Rule(c class.Class) ClassRule { return x.rules[c] }

// Repeatable reports whether a call to the service may be executed more than once.
func (s *Service) Repeatable(method, path string) bool {
	for _, r := range s.Routes {
		if (r.Method == Wildcard || r.Method == method) && strings.HasPrefix(path, r.Prefix) {
			return r.Repeatable
		}
	}
	return method == http.MethodGet || method == http.MethodHead
}
