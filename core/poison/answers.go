package poison

import "time"

// maxAnswers bounds the answers that are kept of what has no entry.
const maxAnswers = 1024

// answers are the latest answers to requests, and to those with parts of prompts, that no crash
// is known of. Hosts report them after crashes that the ledger hears of later, from others.
type answers struct {
	at map[Digest]time.Time
}

// record keeps an answer. The earliest one makes room.
func (a *answers) record(d Digest, at time.Time) {
	if a.at == nil {
		a.at = map[Digest]time.Time{}
	}
	if _, known := a.at[d]; !known && len(a.at) >= maxAnswers {
		a.dropEarliest()
	}
	a.at[d] = latest(a.at[d], at)
}

func (a *answers) dropEarliest() {
	var earliest Digest
	var first time.Time
	for d, at := range a.at {
		if first.IsZero() || at.Before(first) {
			earliest, first = d, at
		}
	}
	delete(a.at, earliest)
}

// take returns the time of the latest answer, zero if there is none, and forgets it.
func (a *answers) take(d Digest) time.Time {
	at := a.at[d]
	delete(a.at, d)
	return at
}

// expire forgets answers of before a time: no crash that they concern is reported any more.
func (a *answers) expire(before time.Time) {
	for d, at := range a.at {
		if at.Before(before) {
			delete(a.at, d)
		}
	}
}
