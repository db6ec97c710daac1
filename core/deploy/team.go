package deploy

import (
	"fmt"
	"math"
	"slices"

	"peridotpier.example/core/apikey"
	"peridotpier.example/core/quota"
)

// Team is a group of callers. No other team may see its requests or send requests
// in its name.
type Team struct {
	Name    string
	Keys    []apikey.Hash // each of them identifies the team
	Urgency int           // 0 is the most urgent; takes precedence over the priority of a route
	Limit   quota.Limit
	Weight  float64 `json:",omitempty"` // for its share of scarce capacity; 0: not stated, see Table.Weight
}

// Maximum numbers of teams and keys in a configuration. It is sent to all hosts, at
// 64 bytes a key.
const (
	maxTeams = 4096
	maxKeys  = 8192
)

// TeamError describes a fault in a team of a configuration. It contains no key.
type TeamError struct {
	Index   int // of the team in the configuration; -1: the fault concerns all teams
	Name    string
	Problem string
}

// Error implements error.
func (e *TeamError) Error() string {
	if e.Index < 0 {
		return "teams: " + e.Problem
	}
	return fmt.Sprintf("teams[%d] %q: %s", e.Index, e.Name, e.Problem)
}

// CheckTeams returns the first fault of a configuration's teams as a *TeamError.
// The same key in two teams would let one of them see the other's requests.
func CheckTeams(teams []Team) error {
	if len(teams) > maxTeams {
		return &TeamError{Index: -1, Problem: fmt.Sprintf("are %d, must be %d at most", len(teams), maxTeams)}
	}
	names, owners := map[string]bool{}, map[apikey.Hash]int{}
	for i := range teams {
		t := &teams[i]
		problem := t.problem()
		switch {
		case problem == "" && names[t.Name]:
			problem = "stands twice"
		case problem == "":
			problem = recordKeys(owners, t.Keys, i)
		}
		if problem != "" {
			return &TeamError{Index: i, Name: t.Name, Problem: problem}
		}
		names[t.Name] = true
	}
	if len(owners) > maxKeys {
		return &TeamError{Index: -1, Problem: fmt.Sprintf("have %d keys, must have %d at most", len(owners), maxKeys)}
	}
	return nil
}

// problem returns the fault of the team by itself; empty: none.
func (t *Team) problem() string {
	l := t.Limit
	switch {
	case t.Name == "":
		return "has no name"
	case slices.ContainsFunc(t.Keys, apikey.Hash.IsZero):
		return "has an empty key"
	case l.PerSecond < 0 || math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0):
		return fmt.Sprintf("has a rate of %g a second, must be 0 or more", l.PerSecond)
	case l.Burst < 0 || math.IsNaN(l.Burst) || math.IsInf(l.Burst, 0):
		return fmt.Sprintf("has a burst of %g, must be 0 or more", l.Burst)
	case l.Plain < 0:
		return fmt.Sprintf("counts %d tokens for a request that names none, must be 0 or more", l.Plain)
	}
	return ""
}

// recordKeys records the owner of a team's keys; it returns the fault if another team
// has one of them.
func recordKeys(owners map[apikey.Hash]int, keys []apikey.Hash, team int) string {
	for _, k := range keys {
		if other, ok := owners[k]; ok && other != team {
			return fmt.Sprintf("has a key of teams[%d]", other)
		}
		owners[k] = team
	}
	return ""
}
