package main

import (
	"fmt"
	"net/http"
	"time"
)

// The case "target": paths that begin with two slashes, on a route whose prefix is "/".
func targetCase(trouble bool) {
	s := startStore()
	s.write("op", "config", manifest(7, []string{"wuno96b"}, route("/", "idempotent", 2, "wuno96b", nil)))
	var runners []*runner
	for i, z := range zones {
		runners = append(runners, startRunner(s, fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", z, plainAnswer(800)))
	}
	all := startHosts(s, 3)
	targets := []string{"/cufi504/fi50%20a/2f?q=1", "/cufi504/fi50%2Fa", "/cufi504/a|b", "/cufi504/%E6%B6%88"}
	if trouble {
		for i := range targets {
			targets[i] = "/" + targets[i]
		}
	}
	changed, ran := 0, 0
	for i := range 24 {
		target := targets[i%len(targets)]
		a := send(all[i%len(all)], http.MethodGet, target, newID(), "", nil, 1500*time.Millisecond)
		for _, w := range runsOf(runners, a.id) {
			ran++
			if w.target != target {
				changed++
				record.line("broken: %s was sent for %q and run for %q", a.id, target, w.target)
			}
		}
	}
	if ran == 0 {
		cannotRun("no request was run")
	}
	verdict(changed > 0, "%d of %d runs were for another path than the client's", changed, ran)
}
