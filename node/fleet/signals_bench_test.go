package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/fleet"
)

// BenchmarkNobodyAsks is what a request pays for upstreams that may ask for
// something, with 12 of them and none that does. Before: no such look. After: 0
// allocations; the look at each upstream for a limit is for plain services only.
func BenchmarkNobodyAsks(b *testing.B) {
	f := fleet.New(fleet.Config{}, fleet.Deps{})
	var all []deploy.Upstream
	for i := range 12 {
		all = append(all, upstream(fmt.Sprint("u", i), 8))
	}
	f.Replace(all, 1)
	e, _ := f.Entry("u0")
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if f.Backoffs("s") != nil || f.HasLimit("s") || !e.AdmitWithoutPermit(now) || !e.AcceptsRequests() {
			b.Fatal("nobody asks")
		}
	}
}
