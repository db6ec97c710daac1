package link

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/coordinator/coordpb"
	local "peridotpier.example/node/quarantine"
)

// Guards against hosts that are never ready, though they are linked and know all
// upstreams: they start together and link to a coordinator that has not read the list
// itself yet. Its first list, which has no version of the store, counts as complete,
// and only changes are sent from then on.
func TestAListThatTheHolderHasNotReadIsSentAgain(t *testing.T) {
	h := newHolder(7, 12, 26)
	listed := 0
	h.follow(func() { listed++ })
	l := h.newLink(Config{Host: "h"})
	l.applyRelay(&coordpb.HostReport{}, &coordpb.SiteState{List: 5, ListFull: true})
	assert.Equal(t, l.buildReport().List, uint64(0), "the complete list is requested again")
	assert.Equal(t, listed, 0)
	l.applyRelay(&coordpb.HostReport{}, &coordpb.SiteState{List: 6, ListAt: 3, ListFull: true})
	assert.Equal(t, l.buildReport().List, uint64(6))
	assert.Equal(t, listed, 1)
}

const (
	// requestsUnderWay is how many requests an engine has at the design size: 205
	// streams at each of 420 hosts, over 2,500 engines.
	requestsUnderWay = 34
	// partsUnderWay is how many parts of prompts these have in common with others: six first
	// parts, and a second part for most of the requests.
	partsUnderWay = 30
	// maxCrashBytes bounds what one crash of an engine costs each host, in both
	// directions: the budget of a second.
	maxCrashBytes = 3000
)

// Guards against crashes of engines that take more of the hosts' links than control
// traffic may.
func TestAnEngineCrashIsReportedWithinTheByteBudget(t *testing.T) {
	c, now := newHolder(7, 12, 26), time.Now()
	var ran []poison.Fingerprint
	for i := range requestsUnderWay {
		ran = append(ran, (&poison.Content{Target: fmt.Sprint(i)}).Fingerprint())
	}
	for i := range partsUnderWay {
		ran = append(ran, poison.PartFingerprint(fmt.Sprint(i), 1))
	}
	r := &coordpb.HostReport{Host: "h"}
	reportQuarantine(r, local.Report{Events: []local.Event{{Crash: &local.Crash{Upstream: "i-0123456789", At: now, Running: ran}}}}, now)
	reportBytes := proto.Size(r)
	out := c.Report(r)
	out.Holdings, out.Others, out.Deputies = nil, nil, nil
	sentBytes := proto.Size(out)
	assert.Equal(t, len(out.Quarantine), requestsUnderWay)
	assert.Equal(t, len(decodeUpdate(out, now).Changed), requestsUnderWay+partsUnderWay)
	completed := &coordpb.HostReport{Host: "h"}
	for _, m := range ran {
		completed.Completed = append(completed.Completed, m.Digest[:])
	}
	completed.QuarantineId, completed.QuarantineRevision = out.QuarantineId, out.QuarantineRevision
	cleared := c.Report(completed)
	cleared.Holdings, cleared.Others, cleared.Deputies = nil, nil, nil
	t.Logf("to the coordinator %d bytes, to each host %d, after these requests have completed %d", reportBytes, sentBytes, proto.Size(cleared))
	assert.Assert(t, reportBytes+sentBytes <= maxCrashBytes && proto.Size(cleared) <= maxCrashBytes)
}
