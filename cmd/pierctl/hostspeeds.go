package main

import (
	"fmt"

	"peridotpier.example/node/host"
)

// printSpeeds prints the upstreams that differ in speed from the others of their service.
func printSpeeds(all []host.UpstreamSpeed) {
	for _, s := range all {
		stated := "states nothing"
		if s.Stated > 0 {
			stated = fmt.Sprintf("stated %d%% %d ms ago", s.Stated, s.StatedAge)
		}
		fmt.Printf("%-20s %-32s work takes %d%% of its usual time in %s: learnt %d%%, %s\n", "speed", s.Upstream, s.Expected, s.Service, s.Learnt, stated)
	}
}
