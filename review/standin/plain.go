package main

import (
	"fmt"
	"time"
)

// zones are the zones of the small deployment.
var zones = []string{"ktm-balaju", "ktm-campus", "ktm-thapathali"}

// plain is a deployment of one machine in each zone before runners of a plain service.
type plain struct {
	store   *metadataStore
	runners []*runner
	d       *deployment
}

// startPlain starts it, with a number of runners in each zone.
func startPlain(rec *record, dir string, zones []string, perZone int) (*plain, error) {
	p := &plain{store: newMetadataStore()}
	address, err := p.store.serve()
	if err != nil {
		return nil, err
	}
	for i := range perZone * len(zones) {
		r, err := newRunner(fmt.Sprintf("i-%08x", 0xa1b2c300+i), zones[i%len(zones)], rec)
		if err != nil {
			return nil, err
		}
		p.runners = append(p.runners, r)
		p.store.put("servers", r.id, r.entry(service))
	}
	p.store.put("op", "config", plainConfig())
	if p.d, err = newDeployment(dir, address, zones); err != nil {
		return nil, err
	}
	if err := p.d.startAll(startTimeout); err != nil {
		p.d.stopAll()
		return nil, err
	}
	time.Sleep(beforeTraffic)
	return p, nil
}

const (
	// startTimeout is how long the machines may take until they are ready.
	startTimeout = 15 * time.Second
	// beforeTraffic is how much later traffic starts.
	beforeTraffic = 3 * time.Second
)
