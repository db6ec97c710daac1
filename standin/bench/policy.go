package bench

import (
	"fmt"
	"slices"
	"strings"

	"peridotpier.example/core/route"
	"peridotpier.example/node/server"
)

// The product's own policy, and the product as it would be with true reports
// that do not lag: how far the first is from the second shows what is to gain.
const (
	Product = "peridot"
	Oracle  = "oracle"
)

// policy is a way of running a site.
type policy struct {
	name          string
	exactReports  bool // upstreams report at once and truly
	loadsOnDemand bool // loads what is asked for and finds no place
	// decisions gives a node's replacements; nil: the product's own.
	newOverrides func(l *lru) server.Policy
}

func (p policy) overrides(l *lru) server.Policy {
	if p.newOverrides == nil {
		return server.Policy{}
	}
	return p.newOverrides(l)
}

func policies() []policy {
	static := func(pick func() route.Picker) func(*lru) server.Policy {
		return func(*lru) server.Policy {
			return server.Policy{Picker: pick(), AdmitAll: true, NoPlanner: true}
		}
	}
	return []policy{
		{name: Product},
		{name: Oracle, exactReports: true},
		{name: "round-robin", newOverrides: static(route.NewRoundRobin)},
		{name: "least-load", newOverrides: static(route.NewLeastReported)},
		{name: "lru", loadsOnDemand: true, newOverrides: func(l *lru) server.Policy {
			return server.Policy{Picker: l.wrapPicker(route.NewLeastReported()), AdmitAll: true, NoPlanner: true, NotifyDemand: l.requestLoad}
		}},
	}
}

// Policies lists the names of all policies.
func Policies() []string {
	var out []string
	for _, p := range policies() {
		out = append(out, p.name)
	}
	return out
}

// isBaseline says whether a policy is one to be measured against.
func isBaseline(name string) bool { return name != Product && name != Oracle }

func findPolicy(name string) (policy, error) {
	all := policies()
	i := slices.IndexFunc(all, func(p policy) bool { return p.name == name })
	if i < 0 {
		return policy{}, fmt.Errorf("policy %q: known are %s", name, strings.Join(Policies(), ", "))
	}
	return all[i], nil
}
