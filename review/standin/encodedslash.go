package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The case encoded-slash: clients of a stock lookup name articles by their codes, in the last
// segment of the path. Some codes hold a slash, which is percent-encoded there. Then the
// operator adds a route to another service, whose prefix is /stock/zip/.
const (
	zipService   = "zip-api"
	zipPrefix    = "/stock/zip/"
	lookupsEach  = 10 // clients that look up articles
	beforeChange = 6 * time.Second
	afterChange  = 14 * time.Second
)

// articleCodes are codes as they stand in a path: button-7, zip/7, zip/long/12.
var articleCodes = []string{"button-7", "zip%2F7", "zip%2Flong%2F12"}

// zipConfig is the next manifest, which adds the route.
func zipConfig() map[string]any {
	cfg := plainConfig()
	cfg["version"] = 9
	route := map[string]any{}
	for k, v := range cfg["routes"].([]any)[0].(map[string]any) {
		route[k] = v
	}
	route["name"], route["prefix"], route["service"] = "r-zip", zipPrefix, zipService
	cfg["routes"] = append(cfg["routes"].([]any), route)
	cfg["services"] = append(cfg["services"].([]any), map[string]any{"name": zipService, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false})
	return cfg
}

// lookups are the requests that were sent, with their paths.
type lookups struct {
	mu    sync.Mutex
	paths map[string]string // by id
	all   []outcome
}

func (l *lookups) send(c *client, rec *record, front, path string) {
	o := c.send(front, routeHost, path, requestBudget)
	rec.note("path     %s %s", o.id, path)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paths[o.id] = path
	l.all = append(l.all, o)
}

func encodedSlash(rec *record, dir string, withTrouble bool) (int, error) {
	store := newMetadataStore()
	address, err := store.serve()
	if err != nil {
		return noRun, err
	}
	serviceOf := map[string]string{}
	for i := range 2 * len(zones) { // three runners of each service
		r, err := newRunner(fmt.Sprintf("i-%08x", 0xa1b2c300+i), zones[i%len(zones)], rec)
		if err != nil {
			return noRun, err
		}
		serviceOf[r.id] = service
		if i >= len(zones) {
			serviceOf[r.id] = zipService
		}
		store.put("servers", r.id, r.entry(serviceOf[r.id]))
	}
	store.put("op", "config", plainConfig())
	d, err := newDeployment(dir, address, zones)
	if err != nil {
		return noRun, err
	}
	defer d.stopAll()
	if err := d.startAll(startTimeout); err != nil {
		return noRun, err
	}
	time.Sleep(beforeTraffic)
	if withTrouble {
		time.AfterFunc(beforeChange, func() {
			store.put("op", "config", zipConfig())
			rec.note("manifest 9 adds the route %s to %s", zipPrefix, zipService)
		})
	}
	sent := &lookups{paths: map[string]string{}}
	until := time.Now().Add(beforeChange + afterChange)
	var wg sync.WaitGroup
	for i := range lookupsEach {
		wg.Go(func() {
			c := newClient(rec)
			for n := i; time.Now().Before(until); n++ {
				sent.send(c, rec, d.machines[n%len(d.machines)].front, routePrefix+articleCodes[rand.IntN(len(articleCodes))])
				time.Sleep(clientPause)
			}
		})
	}
	wg.Wait()
	return judgeRoutes(rec, sent, serviceOf)
}

// judgeRoutes checks ROUTE: none of these paths begins with the added prefix, so that each
// manifest allows them the first service only.
func judgeRoutes(rec *record, sent *lookups, serviceOf map[string]string) (int, error) {
	ran, wrong, answered := 0, 0, 0
	for _, o := range sent.all {
		if strings.HasPrefix(sent.paths[o.id], zipPrefix) {
			return noRun, fmt.Errorf("%s may go to either service", sent.paths[o.id])
		}
		for _, r := range rec.runsOf(o.id) {
			ran++
			if serviceOf[r] == service {
				continue
			}
			wrong++
			rec.note("route    %s %s was run by %s of %s; the client got %d", o.id, sent.paths[o.id], r, serviceOf[r], o.status)
			if o.status == 200 && o.body == bodyOf(o.id) {
				answered++
			}
		}
	}
	rec.note("runs: %d; by a service to which no manifest allows the request to go: %d; clients got 200 with that service's body: %d", ran, wrong, answered)
	fmt.Println("runs:", ran, "by the wrong service:", wrong, "answered with its body:", answered)
	switch {
	case ran == 0:
		return noRun, fmt.Errorf("nothing ran")
	case wrong > 0:
		return broken, nil
	}
	return held, nil
}
