package config

import (
	"net/netip"
	"strings"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/class"
)

// Bounds of values.
const (
	maxTeamWeight = 1000
	maxKeys       = 2   // of a team: two while a key is rotated
	maxHeadroom   = 0.9 // of urgent requests: more would starve all others
)

// Validate returns every fault of a configuration, in the order of its
// fields. A configuration without faults can be served: every model fits.
func Validate(c *Config) []Fault {
	v := validator{cfg: c, pools: map[string]PoolKind{}, centres: map[string]bool{},
		targets: unique{}, services: unique{}}
	v.check(c.Site != "", "site", "is empty")
	v.dataCentres()
	v.poolList()
	v.models()
	v.adapters()
	v.upstreams()
	v.serviceList()
	v.teams()
	v.classes()
	v.presets()
	v.weightStore()
	v.limits()
	if len(v.faults) == 0 {
		v.feasible()
	}
	return v.faults
}

type validator struct {
	collector
	cfg      *Config
	pools    map[string]PoolKind
	centres  map[string]bool
	targets  unique // models and adapters share one namespace: callers name either
	services unique
}

func (v *validator) dataCentres() {
	seen := unique{}
	v.check(len(v.cfg.DataCentres) > 0, "data_centres", "names none")
	for i, d := range v.cfg.DataCentres {
		v.name(seen, d, at("data_centres", i, ""))
		v.centres[d] = true
	}
}

func (v *validator) poolList() {
	seen := unique{}
	for i, p := range v.cfg.Pools {
		v.name(seen, p.Name, at("pools", i, "name"))
		v.check(p.Kind == KindEngine || p.Kind == KindService, at("pools", i, "kind"),
			"is %q, must be %q or %q", p.Kind, KindEngine, KindService)
		v.pools[p.Name] = p.Kind
	}
}

// pool checks that a pool exists and is of a kind.
func (v *validator) pool(name string, kind PoolKind, path string) {
	got, ok := v.pools[name]
	if !ok {
		v.add(path, "no pool %q", name)
		return
	}
	v.check(got == kind, path, "pool %q is of kind %q, must be %q", name, got, kind)
}

func (v *validator) models() {
	for i, m := range v.cfg.Models {
		p := func(field string) string { return at("models", i, field) }
		v.name(v.targets, m.Name, p("name"))
		v.check(m.Name != Wildcard, p("name"), "%q stands for all models", Wildcard)
		v.pool(m.Pool, KindEngine, p("pool"))
		v.check(m.Version != "", p("version"), "is empty")
		v.positive(m.MemoryMB, p("memory_mb"))
		v.notNegative(m.MinReplicas, p("min_replicas"))
		v.check(m.InitialReplicas >= m.MinReplicas, p("initial_replicas"),
			"is %d, below min_replicas %d", m.InitialReplicas, m.MinReplicas)
		v.check(m.MinReplicas > 0 || m.MaxOnDemandSeconds > 0, p("max_on_demand_s"),
			"is %d, must be above 0 where min_replicas is 0", m.MaxOnDemandSeconds)
		v.positive(m.TokensPerSecond, p("tokens_per_second"))
	}
}

func (v *validator) adapters() {
	models := map[string]bool{}
	for _, m := range v.cfg.Models {
		models[m.Name] = true
	}
	for i, a := range v.cfg.Adapters {
		v.name(v.targets, a.Name, at("adapters", i, "name"))
		v.check(models[a.Model], at("adapters", i, "model"), "no base model %q", a.Model)
		v.check(a.Version != "", at("adapters", i, "version"), "is empty")
		v.positive(a.MemoryMB, at("adapters", i, "memory_mb"))
	}
}

func (v *validator) upstreams() {
	names, addresses, used := unique{}, unique{}, map[string]bool{}
	for i, u := range v.cfg.Upstreams {
		p := func(field string) string { return at("upstreams", i, field) }
		v.name(names, u.Name, p("name"))
		v.address(addresses, u.Address, p("address"))
		v.check(v.centres[u.DataCentre], p("data_centre"), "no data centre %q", u.DataCentre)
		v.positive(u.MaxBatch, p("max_batch"))
		kind, ok := v.pools[u.Pool]
		v.check(ok, p("pool"), "no pool %q", u.Pool)
		used[u.Pool] = true
		if kind == KindEngine {
			v.positive(u.Accelerators, p("accelerators"))
			v.positive(u.MemoryMB, p("memory_mb"))
			v.check(u.Fencing == FencingChecked || u.Fencing == FencingIgnored, p("fencing"),
				"is %q, must be %q or %q", u.Fencing, FencingChecked, FencingIgnored)
		}
	}
	for i, p := range v.cfg.Pools {
		v.check(used[p.Name], at("pools", i, ""), "pool %q has no upstream", p.Name)
	}
}

// address checks for an IP number with port: a name would need DNS, and the
// wildcard address or port 0 cannot be called.
func (v *validator) address(seen unique, address, path string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		v.add(path, "is %q, must be IP:port with an IP number", address)
		return
	}
	v.name(seen, ap.String(), path)
}

func (v *validator) serviceList() {
	for i, s := range v.cfg.Services {
		v.name(v.services, s.Name, at("services", i, "name"))
		v.check(s.Name != Wildcard && !strings.Contains(s.Name, "/"), at("services", i, "name"),
			"%q cannot stand in a path", s.Name)
		v.pool(s.Pool, KindService, at("services", i, "pool"))
		for j, r := range s.Routes {
			path := at("services", i, at("routes", j, "method"))
			v.check(r.Method != "" && r.Method == strings.ToUpper(r.Method), path,
				"is %q, must be a method in capitals or %q", r.Method, Wildcard)
		}
	}
}

func (v *validator) teams() {
	names, keys := unique{}, unique{}
	v.check(len(v.cfg.Teams) > 0, "teams", "names none")
	for i, t := range v.cfg.Teams {
		p := func(field string) string { return at("teams", i, field) }
		v.name(names, t.Name, p("name"))
		v.check(len(t.KeyHashes) > 0 && len(t.KeyHashes) <= maxKeys, p("key_hashes"),
			"has %d, must have 1 to %d", len(t.KeyHashes), maxKeys)
		for j, h := range t.KeyHashes {
			v.keyHash(keys, h, at(p("key_hashes"), j, ""))
		}
		v.known(v.targets, t.Models, p("models"), "model or adapter")
		v.known(v.services, t.Services, p("services"), "service")
		v.check(t.Weight >= 1 && t.Weight <= maxTeamWeight, p("weight"),
			"is %d, must be from 1 to %d", t.Weight, maxTeamWeight)
		v.check(t.Limits.RequestsPerSecond >= 0, p("limits.requests_per_second"),
			"is %g, must not be negative", t.Limits.RequestsPerSecond)
		v.notNegative(t.Limits.Concurrent, p("limits.concurrent"))
	}
}

// keyHash checks one hash. Two teams with one key would see each other's
// work. The hash itself stays out of the message: it goes to logs.
func (v *validator) keyHash(seen unique, hash, path string) {
	h, err := apikey.Parse(hash)
	if err != nil {
		v.add(path, "is not the SHA-256 of a key in hex (%d characters)", apikey.HexLen)
		return
	}
	hash = h.String()
	if first, ok := seen[hash]; ok {
		v.add(path, "is the same key hash as at %s", first)
		return
	}
	seen[hash] = path
}

func (v *validator) known(all unique, names []string, path, what string) {
	seen := unique{}
	for i, n := range names {
		v.name(seen, n, at(path, i, ""))
		if _, ok := all[n]; !ok && n != Wildcard {
			v.add(at(path, i, ""), "no %s %q", what, n)
		}
	}
}

func (v *validator) classes() {
	var there [class.Count]bool
	for i, r := range v.cfg.Classes {
		p := func(field string) string { return at("classes", i, field) }
		if int(r.Class) >= class.Count {
			v.add(p("class"), "no class %d", r.Class)
			continue
		}
		v.check(!there[r.Class], p("class"), "class %q stands twice", r.Class)
		there[r.Class] = true
		v.positive(r.FirstTokenMs, p("first_token_ms"))
		v.check(r.DeadlineMs >= r.FirstTokenMs, p("deadline_ms"),
			"is %d, below first_token_ms %d", r.DeadlineMs, r.FirstTokenMs)
		v.positive(r.MaxQueue, p("queue_max"))
	}
	for c, ok := range there {
		v.check(ok, "classes", "class %q is missing", class.Class(c))
	}
}

func (v *validator) presets() {
	seen := unique{}
	v.check(len(v.cfg.Presets) > 0, "presets", "names none; exactly one must be in force")
	for i, p := range v.cfg.Presets {
		v.name(seen, p.Name, at("presets", i, "name"))
		v.share(p.UrgentHeadroom, maxHeadroom, at("presets", i, "urgent_headroom"))
		v.check(p.MovesPerMinute >= 0, at("presets", i, "moves_per_minute"),
			"is %g, must not be negative", p.MovesPerMinute)
		v.share(p.SpreadThreshold, 1, at("presets", i, "spread_threshold"))
		v.share(p.BulkShare, 1, at("presets", i, "bulk_share"))
	}
}

func (v *validator) weightStore() {
	w := v.cfg.WeightStore
	v.check(w.LoadsPerSecond > 0, "weight_store.loads_per_second", "is %g, must be above 0", w.LoadsPerSecond)
	v.positive(w.Concurrent, "weight_store.concurrent")
	v.positive(w.MBPerSecond, "weight_store.mb_per_second")
}

func (v *validator) limits() {
	l := v.cfg.Limits
	v.check(l.BodyBytes > 0, "limits.body_bytes", "is %d, must be above 0", l.BodyBytes)
	v.check(l.AnswerBytes > 0 && l.AnswerBytes <= MaxAnswerBytes, "limits.answer_bytes", "is %d, must be from 1 to %d", l.AnswerBytes, MaxAnswerBytes)
	v.positive(l.ClaimTTLSeconds, "limits.claim_ttl_s")
	v.share(l.RetryBudgetShare, 1, "limits.retry_budget_share")
}
