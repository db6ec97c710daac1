package coordinator

import (
	"google.golang.org/protobuf/proto"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/metrics"
)

// Kinds of calls that hosts make to a coordinator.
const (
	callReport      = "report"
	callState       = "state"
	callAdapter     = "adapter"
	callRepeat      = "repeat"
	callTurn        = "turn"
	callList        = "list"
	callKeepOrigins = "keep_origins"
	callFindOrigin  = "find_origin"
)

// Kinds of bytes between hosts: a report, and the fields of its answer.
const (
	bytesReport        = "report"
	bytesOthers        = "answer_others"
	bytesHoldings      = "answer_holdings"
	bytesList          = "answer_list"
	bytesConfig        = "answer_configuration"
	bytesHandover      = "answer_handover"
	bytesTeams         = "answer_teams"
	bytesQuarantine    = "answer_quarantine"
	bytesDetours       = "answer_detours"
	bytesSignals       = "answer_signals"
	bytesRemainder     = "answer_rest" // the lease, deputies and versions
	bytesForwardedList = "list"        // to a host that the acting coordinator has not sent it to yet
)

// countReport counts a report and its answer by their content.
func (c *Coordinator) countReport(r *coordpb.HostReport, out *coordpb.SiteState) {
	c.deps.Metrics.CountKind(metrics.PeerCalls, callReport, 1)
	c.countBytes(bytesReport, proto.Size(r))
	rest := proto.Size(out)
	for kind, n := range answerBytes(out) {
		c.countBytes(kind, n)
		rest -= n
	}
	c.countBytes(bytesRemainder, rest)
}

func (c *Coordinator) countBytes(kind string, n int) {
	if n > 0 {
		c.deps.Metrics.CountKind(metrics.PeerBytes, kind, int64(n))
	}
}

// answerBytes returns the sizes of the fields of an answer that may be large.
func answerBytes(out *coordpb.SiteState) map[string]int {
	all := map[string]int{}
	add := func(kind string, n int) {
		if n > 0 {
			all[kind] += n
		}
	}
	add(bytesOthers, sizeOf(out.Others))
	add(bytesHoldings, sizeOf(out.Holdings))
	add(bytesTeams, sizeOf(out.Teams))
	add(bytesQuarantine, sizeOf(out.Quarantine))
	add(bytesSignals, sizeOf(out.Signals))
	for _, address := range out.Detours {
		add(bytesDetours, fieldBytes+len(address))
	}
	for _, put := range out.Put {
		add(bytesList, fieldBytes+len(put))
	}
	for _, gone := range out.Gone {
		add(bytesList, fieldBytes+len(gone))
	}
	for _, changes := range out.PackedChanges {
		add(bytesList, fieldBytes+len(changes))
	}
	add(bytesList, len(out.PackedList))
	add(bytesConfig, len(out.Config)+len(out.PackedConfig))
	if out.Handover != nil {
		add(bytesHandover, proto.Size(out.Handover))
	}
	return all
}

// fieldBytes is the size of the tag and the length of a short field.
const fieldBytes = 2

func sizeOf[M proto.Message](all []M) int {
	sum := 0
	for _, m := range all {
		sum += fieldBytes + proto.Size(m)
	}
	return sum
}
