package main

import (
	"fmt"
	"maps"
	"slices"

	"peridotpier.example/node/host"
)

// printTeamLimits prints the teams whose limits may bind.
func printTeamLimits(l *host.TeamLimits) {
	for _, t := range l.Binding {
		fmt.Printf("limit of %s: %.0f a second, asks for %.0f, holds %.0f; told %d ms ago\n", t.Team, t.PerSecond, t.AskedPerSecond, t.Level, t.AgeMs)
	}
	for _, rank := range slices.Sorted(maps.Keys(l.RefusedByRank)) {
		fmt.Printf("refused over limits, rank %s: %d\n", rank, l.RefusedByRank[rank])
	}
	if l.Waiting > 0 {
		fmt.Printf("requests that wait here for their teams' limits: %d\n", l.Waiting)
	}
	if l.PromisesMade > 0 {
		fmt.Printf("times kept free for requests over limits: %d, used by them: %d\n", l.PromisesMade, l.PromisesKept)
	}
}
