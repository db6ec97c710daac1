package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/fleet"
)

// holderOver returns a coordinator with two upstreams.
func holderOver(k *clock, host string, born int64) *Coordinator {
	c := newHolder(k, host)
	c.deps.Fleet.Apply([]deploy.Upstream{{ID: "a", Service: "s", Address: "a", Slots: 4, Born: born}, {ID: "b", Service: "s", Address: "b", Slots: 4, Born: born}}, nil, 0)
	return c
}

func (c *Coordinator) slowdownOf(id string) float64 {
	e, _ := c.deps.Fleet.Entry(id)
	return e.Endpoint(&fleet.Request{}, c.now()).Slowdown
}

// Guards against a successor that sends as much to slow upstreams until it has found them
// out itself, and one that takes a process for slow because a former one was.
func TestASuccessorInheritsTheLearntSpeeds(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	former, next, restarted := holderOver(k, "h1", 7), holderOver(k, "h2", 7), holderOver(k, "h3", 8)
	former.takeLease(1)
	slow, _ := former.deps.Fleet.Entry("b")
	for range 30 {
		slow.RecordSpeed(2, k.now)
	}
	learnt := former.slowdownOf("b")
	assert.Assert(t, learnt > 1.5)
	for _, c := range []*Coordinator{next, restarted} {
		former.handOverTo(c)
		c.takeLease(2)
		assert.Equal(t, c.slowdownOf("a"), 0.0)
	}
	assert.Assert(t, next.slowdownOf("b") > 1.3 && next.slowdownOf("b") <= learnt+0.01, "%.2f of %.2f", next.slowdownOf("b"), learnt)
	assert.Equal(t, restarted.slowdownOf("b"), 0.0)
}

// Guards against hosts that decide on their own and send to upstreams that others know to
// be slow; and against bytes in reports and answers where nothing is stated, as by hosts
// of an older release.
func TestHostsTellEachOtherWhatUpstreamsState(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	c := holderOver(k, "h1", 7)
	c.takeLease(1)
	report := func(host string, slowdown uint32) *coordpb.SiteState {
		return c.Report(&coordpb.HostReport{Host: host, Loads: []*coordpb.Load{{Upstream: "a", Requests: 1, Slowdown: slowdown}, {Upstream: "b", Requests: 1}}})
	}
	slowdowns := func(s *coordpb.SiteState) (out []uint32) {
		for _, l := range s.Others {
			out = append(out, l.Slowdown)
		}
		return out
	}
	report("old", 0)
	assert.DeepEqual(t, slowdowns(report("h2", 0)), []uint32{0, 0})
	report("h2", 250)
	told := map[string]uint32{}
	for _, l := range report("h3", 0).Others {
		told[l.Upstream] = l.Slowdown
	}
	assert.DeepEqual(t, told, map[string]uint32{"a": 250, "b": 0})
	k.now = k.now.Add(2 * time.Second)
	report("h2", 0)
	assert.DeepEqual(t, slowdowns(report("h3", 0)), []uint32{0, 0})
}
