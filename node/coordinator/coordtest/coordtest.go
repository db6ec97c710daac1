// Package coordtest has the deployment that tests and benchmarks of the coordinator and of
// its parts share: one service whose upstreams have three models each resident.
package coordtest

import (
	"fmt"
	"testing"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
)

// Service is the name of the deployment's only service.
const Service = "s"

// residentsPerUpstream is how many models each upstream has resident.
const residentsPerUpstream = 3

// Model returns the name of a model.
func Model(i int) string { return fmt.Sprintf("model-%04d", i) }

// Upstream returns the ID of an upstream.
func Upstream(i int) string { return fmt.Sprintf("i-%010d", i) }

// Config returns the configuration of a service with so many models.
func Config(models int) *deploy.Config {
	e := &deploy.Engine{Slots: 32, MemoryMB: 230_000, AdapterSlots: 8, LoadsPerSecond: 22, CacheTokens: 96_000}
	for i := range models {
		e.Models = append(e.Models, deploy.Model{Name: Model(i), WeightsMB: 70_000, AdapterMB: 200, Adapters: i % 3,
			StoreLoad: 9 * time.Second, DiskLoad: 2200 * time.Millisecond})
	}
	return &deploy.Config{Version: 1, Services: []deploy.Service{{Name: Service, Engine: e}}}
}

// Upstreams returns so many upstreams of a service with so many models.
func Upstreams(upstreams, models int) []deploy.Upstream {
	all := make([]deploy.Upstream, upstreams)
	for i := range all {
		all[i] = deploy.Upstream{ID: Upstream(i), Service: Service, Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Slots: 32,
			State: deploy.Ready, DataCentre: fmt.Sprint("d", i%5)}
		for j := range residentsPerUpstream {
			name := Model((residentsPerUpstream*i + j) % models)
			all[i].Residents = append(all[i].Residents, deploy.Resident{Model: name})
			all[i].OnDisk = append(all[i].OnDisk, name, Model((residentsPerUpstream*i+j+7)%models))
		}
	}
	return all
}

// DemandOf returns the demand that a host reports: one request for one model.
func DemandOf(host, models int) []*coordpb.Demand {
	return []*coordpb.Demand{{Service: Service, Model: Model(host % models), Requests: 1, Prompt: 2000, Output: 20, PatienceMs: 1000}}
}

// ReportOf returns the report of a host that has sent requests to eight upstreams.
func ReportOf(host, upstreams, models int) *coordpb.HostReport {
	r := &coordpb.HostReport{Host: fmt.Sprint("h", host), Address: fmt.Sprintf("10.1.%d.%d:90", host/256, host%256), Ample: host%3 == 0, Config: 1, List: 1}
	for j := range 8 {
		r.Loads = append(r.Loads, &coordpb.Load{Upstream: Upstream((host + 17*j) % upstreams), Requests: 2, Waiting: 900, Tokens: 4000})
	}
	r.Demand = DemandOf(host, models)
	return r
}

// blockedAfter is how long a call may take that must not block.
const blockedAfter = 2 * time.Second

// FinishesSoon fails the test if f blocks.
func FinishesSoon(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(blockedAfter):
		t.Fatal("the call blocks")
	}
}
