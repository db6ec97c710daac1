package local

import (
	"strconv"

	"peridotpier.example/core/outcome"
	"peridotpier.example/standin/history"
	"peridotpier.example/standin/load"
)

// historyOK is the result of checkHistory for a history without contradictions.
const historyOK = "ok"

// checkHistory checks the calls that may not be repeated against the executions of the
// upstreams, as a history of a register that is written at most once. It returns
// historyOK or a description of the contradiction.
func checkHistory(r *load.Result, effects []load.Effect) string {
	var calls []history.Invocation
	for _, v := range r.Invocations {
		if v.Key != "" && len(v.Tries) > 0 {
			calls = append(calls, invocation(v))
		}
	}
	var runs []history.Execution
	for _, e := range effects {
		if e.Key == "" {
			continue
		}
		x := history.Execution{InvocationID: e.Invocation, Key: e.Team + "/" + e.Key, Attempt: e.Attempt, Start: e.Start.UnixNano(), Answer: formatDigest(e.Answer)}
		if !e.End.IsZero() {
			x.End = e.End.UnixNano()
		}
		runs = append(runs, x)
	}
	if err := history.Check(history.FromRecords(calls, runs)); err != nil {
		return err.Error()
	}
	return historyOK
}

// invocation converts a call with all of its tries under one key. Its outcome is
// NotRun only if each try was answered so: a try without an answer may have run.
func invocation(v *load.Invocation) history.Invocation {
	i := history.Invocation{ID: v.Arrival.ID, Key: v.Arrival.Source.Team + "/" + v.Key, Start: v.Started.UnixNano(), End: v.Returned.UnixNano(),
		Outcome: outcome.Unknown}
	switch {
	case v.Verdict == load.VerdictComplete:
		i.Outcome, i.Answer = outcome.Completed, formatDigest(v.Digest)
	case v.AllTriesNotRun():
		i.Outcome = outcome.NotRun
	}
	return i
}

func formatDigest(d uint64) string { return strconv.FormatUint(d, 16) }
