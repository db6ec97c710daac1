package site_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"peridotpier.example/standin/load"
	"peridotpier.example/standin/site"
)

// BenchmarkDirect runs a site's demand against its static placement through an
// entry host that knows every engine's actual state. It shows what demand and
// placement allow at best.
func BenchmarkDirect(b *testing.B) {
	for _, name := range []string{"taipei", "kathmandu"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				runDirect(b, name, 20*time.Second)
			}
		})
	}
}

func runDirect(b *testing.B, name string, length time.Duration) {
	s := builtIn(b, name)
	u, err := s.Start(site.StartOptions{Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer u.Close()
	entry := httptest.NewServer(u.DirectHandler())
	defer entry.Close()
	plan, err := s.Plan(1, length)
	if err != nil {
		b.Fatal(err)
	}
	res := load.Run(b.Context(), load.Config{Plan: plan, Entries: load.NewBalancer(entry.Listener.Addr().String()),
		Dial: u.Dialer(site.Clients).DialContext})
	c := res.Count(u.Effects())
	b.ReportMetric(c.Attainment, "attainment")
	b.ReportMetric(c.ByClass["urgent"].Attainment, "urgent")
	b.ReportMetric(s.AttainmentBound(plan), "bound")
	b.ReportMetric(float64(len(plan))/length.Seconds(), "requests/s")
}
