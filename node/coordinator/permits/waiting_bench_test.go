package permits

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// BenchmarkAnEndWithRequestsWaiting measures the end of a request at one of 7, 60 or 300
// upstreams with 20 models, four at each, while 10,000 requests of 100 teams wait: another is
// granted, and one begins to wait in its place. bytes is what one that waits takes in all.
func BenchmarkAnEndWithRequestsWaiting(b *testing.B) {
	const waiting = 10_000
	for _, upstreams := range []int{7, 60, 300} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			f := fleet.New(fleet.Config{}, fleet.Deps{Now: func() time.Time { return now }})
			var all []deploy.Upstream
			for i := range upstreams {
				u := deploy.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("u", i), Slots: 64}
				for j := range 4 {
					u.Residents = append(u.Residents, deploy.Resident{Model: fmt.Sprint("m", (i+j*5)%20)})
				}
				all = append(all, u)
			}
			f.Apply(all, nil, 0)
			perms := newPermitsOver(f, func() time.Time { return now })
			s := newTestStream()
			id := uint64(0)
			var granted []uint64
			ask := func() {
				e := newRequestEvent(id, int32(id%3))
				e.Model, e.Account = fmt.Sprint("m", id%uint64(min(20, upstreams*4))), fmt.Sprint("t", id%100)
				perms.Handle(s, e)
				id++
				granted = append(granted, grantsOf(s)...)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for perms.waiting.Len() < waiting {
				ask()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ended := granted[i%len(granted)]
				perms.Handle(s, &coordpb.TurnEvent{Id: ended, Kind: coordpb.TurnEvent_END})
				if got := grantsOf(s); len(got) > 0 {
					granted[i%len(granted)] = got[0]
				}
				ask()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/waiting, "bytes/waiting")
		})
	}
}
