// Command standin2 plays the cases of the review: stand-ins for the platform's store, for
// runners and for clients, around processes of the project.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool){
	"target":  targetCase,
	"failure": failureCase,
	"slow":    slowCase,
	"turns":   turnsCase,
	"early":   earlyCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	workDir = dir
	record.open(os.Args[2])
	cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
}

// route is a route of the operator's manifest.
func route(prefix, kind string, attempts int, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": "r" + prefix, "host": "ficu95.example", "prefix": prefix, "kind": kind, "timeout_ms": 5000,
		"target_latency_ms": 500, "priority": 1, "service": service, "attempts": attempts, "sticky": false, "resumable": false}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func manifest(version int, services []string, routes ...map[string]any) map[string]any {
	var all []any
	for _, s := range services {
		all = append(all, map[string]any{"name": s, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
