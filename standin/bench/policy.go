package bench

import (
	"fmt"
	"slices"
	"strings"

	"peridotpier.example/core/route"
	"peridotpier.example/node/server"
)

// Product is the product's own policy. Oracle is the same with exact reports without delay:
// the distance between the two is the most that better information could gain.
const (
	Product = "peridot"
	Oracle  = "oracle"
)

// policy is a configuration of the nodes and upstreams of a site.
type policy struct {
	name          string
	exactReports  bool // upstreams report exactly and without delay
	loadsOnDemand bool // a controller loads models that requests find resident nowhere
	// newOverrides returns what replaces the product's policy on a node; nil: nothing.
	newOverrides func(l *lru) server.Policy
}

// overrides returns what replaces the product's policy on a node.
func (p policy) overrides(l *lru) server.Policy {
	if p.newOverrides == nil {
		return server.Policy{}
	}
	return p.newOverrides(l)
}

// policies returns all policies: the product's own two, then the baselines.
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

// Policies returns the names of all policies.
func Policies() []string {
	var out []string
	for _, p := range policies() {
		out = append(out, p.name)
	}
	return out
}

// isBaseline reports whether a policy is a baseline that the product is compared with.
func isBaseline(name string) bool { return name != Product && name != Oracle }

// findPolicy returns the policy of a name; the error of an unknown name lists all.
func findPolicy(name string) (policy, error) {
	all := policies()
	i := slices.IndexFunc(all, func(p policy) bool { return p.name == name })
	if i < 0 {
		return policy{}, fmt.Errorf("policy %q: known are %s", name, strings.Join(Policies(), ", "))
	}
	return all[i], nil
}
