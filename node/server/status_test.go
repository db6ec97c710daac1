package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/query"
	"peridotpier.example/node/store"
)

// Guards against telling an operator that a change is in force everywhere while a
// host still serves under the previous version: a host starts and links with
// others, a change is made before the platform's list shows the host, and only
// listed hosts are waited for.
func TestAnUnlistedHostIsWaitedFor(t *testing.T) {
	listed := []store.Host{{Name: "a", Role: store.RoleEntry, State: store.HostLive},
		{Name: "gone", Role: store.RoleEntry, State: store.HostDraining},
		{Name: "engine", Role: store.RoleUpstream, State: store.HostLive}}
	versions := map[string]uint64{"a": 2, "new": 1, "silent": 0}
	tracker := query.NewVersionTracker(nil)
	for host, v := range versions {
		tracker.Record(host, v)
	}
	var waiting []string
	for _, h := range tracker.HostsBelow(2, requiredHosts(listed, versions)) {
		waiting = append(waiting, h.Host)
	}
	assert.DeepEqual(t, waiting, []string{"new", "silent"})
}
