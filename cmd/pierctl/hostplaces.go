package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"peridotpier.example/node/host"
)

// printPlaces prints where models are and why.
func printPlaces(p *host.Places) {
	for _, m := range p.Models {
		fmt.Printf("model %s/%s: replicas %s; demand %s engines, about the same for %d ms; last move %s\n",
			m.Service, m.Model, byDataCentre(m.Replicas, "%d"), byDataCentre(m.Demand, "%.2f"), m.Lasting, lastMove(m.LastMove, m.MovedMs))
	}
	for _, part := range []struct {
		title string
		by    map[string]int64
	}{{"moves of models", p.Moves}, {"moves back", p.Returns}, {"requests for models", p.Requests}} {
		for _, kind := range slices.Sorted(maps.Keys(part.by)) {
			fmt.Printf("%-20s %-32s %d\n", part.title, kind, part.by[kind])
		}
	}
}

// byDataCentre formats values by data centre.
func byDataCentre[V any](values map[string]V, format string) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		out = append(out, strings.TrimSpace(name+" "+fmt.Sprintf(format, values[name])))
	}
	return cmp.Or(strings.Join(out, ", "), "none")
}

func lastMove(why string, agoMs int64) string {
	if why == "" {
		return "none"
	}
	return fmt.Sprintf("%s, %d ms ago", why, agoMs)
}
