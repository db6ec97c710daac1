package config

import (
	"net/netip"
	"strings"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/class"
)

// Limits on values.
const (
	maxTeamWeight     = 1000
	maxKeysPerTeam    = 2   // two while a key is rotated
	maxUrgentHeadroom = 0.9 // a larger share would starve all other requests
)

// Validate returns every fault of a configuration, in the order of its fields. A
// configuration without faults can be served: every model fits.
func Validate(c *Config) []Fault {
	v := validator{cfg: c, pools: map[string]PoolKind{}, centres: map[string]bool{},
		targets: firstUses{}, services: firstUses{}}
	v.check(c.Site != "", "site", "is empty")
	v.checkDataCentres()
	v.checkPools()
	v.checkModels()
	v.checkAdapters()
	v.checkUpstreams()
	v.checkServices()
	v.checkTeams()
	v.checkClasses()
	v.checkPresets()
	v.checkWeightStore()
	v.checkLimits()
	if len(v.faults) == 0 {
		v.checkFeasible()
	}
	return v.faults
}

type validator struct {
	collector
	cfg      *Config
	pools    map[string]PoolKind
	centres  map[string]bool
	targets  firstUses // models and adapters share one namespace, since callers may name either
	services firstUses
}

func (v *validator) checkDataCentres() {
	seen := firstUses{}
	v.check(len(v.cfg.DataCentres) > 0, "data_centres", "names none")
	for i, d := range v.cfg.DataCentres {
		v.checkName(seen, d, itemPath("data_centres", i, ""))
		v.centres[d] = true
	}
}

func (v *validator) checkPools() {
	seen := firstUses{}
	for i, p := range v.cfg.Pools {
		v.checkName(seen, p.Name, itemPath("pools", i, "name"))
		v.check(p.Kind == KindEngine || p.Kind == KindService, itemPath("pools", i, "kind"),
			"is %q, must be %q or %q", p.Kind, KindEngine, KindService)
		v.pools[p.Name] = p.Kind
	}
}

// checkPool checks that a pool exists and is of the given kind.
func (v *validator) checkPool(name string, kind PoolKind, path string) {
	got, ok := v.pools[name]
	if !ok {
		v.add(path, "no pool %q", name)
		return
	}
	v.check(got == kind, path, "pool %q is of kind %q, must be %q", name, got, kind)
}

func (v *validator) checkModels() {
	for i, m := range v.cfg.Models {
		p := func(field string) string { return itemPath("models", i, field) }
		v.checkName(v.targets, m.Name, p("name"))
		v.check(m.Name != Wildcard, p("name"), "%q stands for all models", Wildcard)
		v.checkPool(m.Pool, KindEngine, p("pool"))
		v.check(m.Version != "", p("version"), "is empty")
		v.checkPositive(m.MemoryMB, p("memory_mb"))
		v.checkNotNegative(m.MinReplicas, p("min_replicas"))
		v.check(m.InitialReplicas >= m.MinReplicas, p("initial_replicas"),
			"is %d, below min_replicas %d", m.InitialReplicas, m.MinReplicas)
		v.check(m.MinReplicas > 0 || m.MaxOnDemandSeconds > 0, p("max_on_demand_s"),
			"is %d, must be above 0 where min_replicas is 0", m.MaxOnDemandSeconds)
		v.checkPositive(m.TokensPerSecond, p("tokens_per_second"))
	}
}

func (v *validator) checkAdapters() {
	models := map[string]bool{}
	for _, m := range v.cfg.Models {
		models[m.Name] = true
	}
	for i, a := range v.cfg.Adapters {
		v.checkName(v.targets, a.Name, itemPath("adapters", i, "name"))
		v.check(models[a.Model], itemPath("adapters", i, "model"), "no base model %q", a.Model)
		v.check(a.Version != "", itemPath("adapters", i, "version"), "is empty")
		v.checkPositive(a.MemoryMB, itemPath("adapters", i, "memory_mb"))
	}
}

func (v *validator) checkUpstreams() {
	names, addresses, used := firstUses{}, firstUses{}, map[string]bool{}
	for i, u := range v.cfg.Upstreams {
		p := func(field string) string { return itemPath("upstreams", i, field) }
		v.checkName(names, u.Name, p("name"))
		v.checkAddress(addresses, u.Address, p("address"))
		v.check(v.centres[u.DataCentre], p("data_centre"), "no data centre %q", u.DataCentre)
		v.checkPositive(u.MaxBatch, p("max_batch"))
		kind, ok := v.pools[u.Pool]
		v.check(ok, p("pool"), "no pool %q", u.Pool)
		used[u.Pool] = true
		if kind == KindEngine {
			v.checkPositive(u.Accelerators, p("accelerators"))
			v.checkPositive(u.MemoryMB, p("memory_mb"))
			v.check(u.Fencing == FencingChecked || u.Fencing == FencingIgnored, p("fencing"),
				"is %q, must be %q or %q", u.Fencing, FencingChecked, FencingIgnored)
		}
	}
	for i, p := range v.cfg.Pools {
		v.check(used[p.Name], itemPath("pools", i, ""), "pool %q has no upstream", p.Name)
	}
}

// checkAddress checks that an address is an IP address with a port: a host name
// would need DNS, and the unspecified address or port 0 cannot be called.
func (v *validator) checkAddress(seen firstUses, address, path string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		v.add(path, "is %q, must be IP:port with an IP number", address)
		return
	}
	v.checkName(seen, ap.String(), path)
}

func (v *validator) checkServices() {
	for i, s := range v.cfg.Services {
		v.checkName(v.services, s.Name, itemPath("services", i, "name"))
		v.check(s.Name != Wildcard && !strings.Contains(s.Name, "/"), itemPath("services", i, "name"),
			"%q cannot stand in a path", s.Name)
		v.checkPool(s.Pool, KindService, itemPath("services", i, "pool"))
		for j, r := range s.Routes {
			path := itemPath("services", i, itemPath("routes", j, "method"))
			v.check(r.Method != "" && r.Method == strings.ToUpper(r.Method), path,
				"is %q, must be a method in capitals or %q", r.Method, Wildcard)
		}
	}
}

func (v *validator) checkTeams() {
	names, keys := firstUses{}, firstUses{}
	v.check(len(v.cfg.Teams) > 0, "teams", "names none")
	for i, t := range v.cfg.Teams {
		p := func(field string) string { return itemPath("teams", i, field) }
		v.checkName(names, t.Name, p("name"))
		v.check(len(t.KeyHashes) > 0 && len(t.KeyHashes) <= maxKeysPerTeam, p("key_hashes"),
			"has %d, must have 1 to %d", len(t.KeyHashes), maxKeysPerTeam)
		for j, h := range t.KeyHashes {
			v.checkKeyHash(keys, h, itemPath(p("key_hashes"), j, ""))
		}
		v.checkKnown(v.targets, t.Models, p("models"), "model or adapter")
		v.checkKnown(v.services, t.Services, p("services"), "service")
		v.check(t.Weight >= 1 && t.Weight <= maxTeamWeight, p("weight"),
			"is %d, must be from 1 to %d", t.Weight, maxTeamWeight)
		v.check(t.Limits.RequestsPerSecond >= 0, p("limits.requests_per_second"),
			"is %g, must not be negative", t.Limits.RequestsPerSecond)
		v.checkNotNegative(t.Limits.Concurrent, p("limits.concurrent"))
	}
}

// checkKeyHash checks one key hash. Two teams with the same key would see each
// other's work. The hash itself stays out of the message, since messages get into
// logs.
func (v *validator) checkKeyHash(seen firstUses, hash, path string) {
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

// checkKnown checks that each name is in all or is the wildcard, and occurs once.
func (v *validator) checkKnown(all firstUses, names []string, path, kind string) {
	seen := firstUses{}
	for i, n := range names {
		v.checkName(seen, n, itemPath(path, i, ""))
		if _, ok := all[n]; !ok && n != Wildcard {
			v.add(itemPath(path, i, ""), "no %s %q", kind, n)
		}
	}
}

func (v *validator) checkClasses() {
	var present [class.Count]bool
	for i, r := range v.cfg.Classes {
		p := func(field string) string { return itemPath("classes", i, field) }
		if int(r.Class) >= class.Count {
			v.add(p("class"), "no class %d", r.Class)
			continue
		}
		v.check(!present[r.Class], p("class"), "class %q stands twice", r.Class)
		present[r.Class] = true
		v.checkPositive(r.FirstTokenMs, p("first_token_ms"))
		v.check(r.DeadlineMs >= r.FirstTokenMs, p("deadline_ms"),
			"is %d, below first_token_ms %d", r.DeadlineMs, r.FirstTokenMs)
		v.checkPositive(r.MaxQueue, p("queue_max"))
	}
	for c, ok := range present {
		v.check(ok, "classes", "class %q is missing", class.Class(c))
	}
}

func (v *validator) checkPresets() {
	seen := firstUses{}
	v.check(len(v.cfg.Presets) > 0, "presets", "names none; exactly one must be in force")
	for i, p := range v.cfg.Presets {
		v.checkName(seen, p.Name, itemPath("presets", i, "name"))
		v.checkShare(p.UrgentHeadroom, maxUrgentHeadroom, itemPath("presets", i, "urgent_headroom"))
		v.check(p.MovesPerMinute >= 0, itemPath("presets", i, "moves_per_minute"),
			"is %g, must not be negative", p.MovesPerMinute)
		v.checkShare(p.SpreadThreshold, 1, itemPath("presets", i, "spread_threshold"))
		v.checkShare(p.BulkShare, 1, itemPath("presets", i, "bulk_share"))
	}
}

func (v *validator) checkWeightStore() {
	w := v.cfg.WeightStore
	v.check(w.LoadsPerSecond > 0, "weight_store.loads_per_second", "is %g, must be above 0", w.LoadsPerSecond)
	v.checkPositive(w.Concurrent, "weight_store.concurrent")
	v.checkPositive(w.MBPerSecond, "weight_store.mb_per_second")
}

func (v *validator) checkLimits() {
	l := v.cfg.Limits
	v.check(l.BodyBytes > 0, "limits.body_bytes", "is %d, must be above 0", l.BodyBytes)
	v.check(l.AnswerBytes > 0 && l.AnswerBytes <= MaxAnswerBytes, "limits.answer_bytes", "is %d, must be from 1 to %d", l.AnswerBytes, MaxAnswerBytes)
	v.checkPositive(l.ClaimTTLSeconds, "limits.claim_ttl_s")
	v.checkShare(l.RetryBudgetShare, 1, "limits.retry_budget_share")
}
