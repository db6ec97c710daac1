package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/coordinator/wire"
)

// Guards against requests that are barred since the connections of a partitioned host
// broke while they ran.
func TestCrashesOfAPartitionedHostDoNotCount(t *testing.T) {
	k := &clock{time.Unix(1_700_000_000, 0)}
	for _, partitioned := range []bool{true, false} {
		q := newTestLedger(k, nil)
		request := poison.Fingerprint{Digest: poison.Digest{1}}
		crash := &coordpb.UpstreamCrash{Upstream: "u", Running: []*coordpb.RequestMark{wire.EncodeFingerprint(request)}}
		q.Receive(&coordpb.HostReport{Host: "h", Partitioned: partitioned, Crashes: []*coordpb.UpstreamCrash{crash}}, k.now)
		out := &coordpb.SiteState{}
		q.AddTo(&coordpb.HostReport{Host: "h"}, out, k.now)
		assert.Equal(t, len(out.Quarantine) == 0, partitioned)
	}
}

// Guards against a crash that does not count since an answer of before it is reported after it, as hosts
// do to a new coordinator.
func TestAnAnswerCountsFromItsOwnTime(t *testing.T) {
	const second = 1000 // ms
	for name, c := range map[string]struct {
		ages      []uint32
		suspected bool
	}{
		"of before the crash":   {[]uint32{3 * second}, true},
		"of after it":           {[]uint32{second}, false},
		"of an earlier release": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			k := &clock{time.Unix(1_700_000_000, 0)}
			q, request := newTestLedger(k, nil), poison.Fingerprint{Digest: poison.Digest{1}}
			q.Receive(&coordpb.HostReport{Host: "h", Crashes: []*coordpb.UpstreamCrash{{Upstream: "u", AgeMs: 2 * second, Running: []*coordpb.RequestMark{wire.EncodeFingerprint(request)}}}}, k.now)
			q.Receive(&coordpb.HostReport{Host: "o", Completed: [][]byte{request.Digest[:]}, CompletedAgesMs: c.ages}, k.now)
			out := &coordpb.SiteState{}
			q.AddTo(&coordpb.HostReport{Host: "h"}, out, k.now)
			assert.Equal(t, len(out.Quarantine) > 0, c.suspected)
		})
	}
}
