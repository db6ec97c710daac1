package quarantine

import (
	"bytes"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
)

const (
	// crashesKey is the row of the crashes that suspects have in common which are not barred
	// yet. Without it, after a loss of all hosts, a part of prompts that was about to be
	// barred would crash as many upstreams again. It is no digest, as the keys of bars are.
	crashesKey = table + "crashes"
	// maxRowCrashes and maxRowSuspects bound the row to 32 kB, half of what the store takes.
	// The earliest crashes, and the suspects of the fewest crashes, are left out first.
	maxRowCrashes, maxRowSuspects = 64, 64
	// crashesInterval is the shortest time between two writes of the row. It is well below
	// the time that a part of prompts is waited for before it is barred.
	crashesInterval = 500 * time.Millisecond
)

// crashesRow is what is known of the row of crashes.
type crashesRow struct {
	value    []byte // nil: there is none
	revision uint64 // of the ledger, up to which the value is known to be current
	at       time.Time
}

// noRevision is a revision that no ledger reaches: the row must be compared.
const noRevision = math.MaxUint64

// crashesValue is the value of the row.
type crashesValue struct {
	Suspects []suspectValue `json:"suspects"`
	Crashes  []crashValue   `json:"crashes"`
}

// suspectValue is a suspect that several crashes have in common.
type suspectValue struct {
	Digest string `json:"digest"`
	Shape  uint64 `json:"shape"`
	Place  uint8  `json:"place,omitempty"`
}

// crashValue is the crash of an upstream.
type crashValue struct {
	Upstream string `json:"upstream"`
	AtMs     int64  `json:"at_unix_ms"`
	Ran      []int  `json:"ran,omitempty"` // indices of suspects
}

// encodeCrashes returns the value of the row; nil if there is nothing to keep.
func encodeCrashes(all []poison.Crash) ([]byte, error) {
	if len(all) == 0 {
		return nil, nil
	}
	var v crashesValue
	index := map[poison.Digest]int{}
	for _, x := range all {
		c := crashValue{Upstream: x.Upstream, AtMs: x.At.UnixMilli()}
		for _, f := range x.Ran {
			i, ok := index[f.Digest]
			if !ok {
				i = len(v.Suspects)
				index[f.Digest] = i
				v.Suspects = append(v.Suspects, suspectValue{f.Digest.String(), uint64(f.Shape), f.Place})
			}
			c.Ran = append(c.Ran, i)
		}
		v.Crashes = append(v.Crashes, c)
	}
	value, err := json.Marshal(v)
	return value, eris.Wrap(err, "encode crashes of upstreams")
}

// decodeCrashes decodes the result of encodeCrashes.
func decodeCrashes(value []byte) ([]poison.Crash, error) {
	var v crashesValue
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, eris.Wrap(err, "decode crashes of upstreams")
	}
	suspects := make([]poison.Fingerprint, len(v.Suspects))
	for i, s := range v.Suspects {
		d, err := poison.ParseDigest(s.Digest)
		if err != nil {
			return nil, err
		}
		suspects[i] = poison.Fingerprint{Digest: d, Shape: poison.Shape(s.Shape), Place: s.Place}
	}
	all := make([]poison.Crash, len(v.Crashes))
	for i, c := range v.Crashes {
		all[i] = poison.Crash{Upstream: c.Upstream, At: time.UnixMilli(c.AtMs)}
		for _, n := range c.Ran {
			if n < 0 || n >= len(suspects) {
				return nil, eris.Errorf("crash of %s names suspect %d of %d", c.Upstream, n, len(suspects))
			}
			all[i].Ran = append(all[i].Ran, suspects[n])
		}
	}
	return all, nil
}

// crashesDueLocked reports whether the row may have to be written now.
func (q *Ledger) crashesDueLocked(now time.Time) bool {
	r := &q.rows.crashes
	return q.rows.read && r.revision != q.ledger.Revision() && now.Sub(r.at) >= crashesInterval
}

// crashesWriteLocked returns the write of the row, if it differs from what is known now.
func (q *Ledger) crashesWriteLocked(now time.Time) (w store.Write, needed bool, err error) {
	if !q.crashesDueLocked(now) {
		return w, false, nil
	}
	revision := q.ledger.Revision()
	value, err := encodeCrashes(q.ledger.CommonCrashes(maxRowCrashes, maxRowSuspects))
	if err != nil {
		return w, false, err
	}
	if bytes.Equal(value, q.rows.crashes.value) {
		q.rows.crashes.revision = revision
		return w, false, nil
	}
	return store.Write{Key: crashesKey, Value: value, Delete: value == nil}, true, nil
}

// adoptCrashesLocked enters the row of crashes in a ledger that has not read it yet.
func (q *Ledger) adoptCrashesLocked(row *store.Row, now time.Time) error {
	all, err := decodeCrashes(row.Value)
	if err != nil {
		return err
	}
	q.ledger.AdoptCrashes(all, now)
	suspected, _ := q.ledger.Counts()
	q.deps.Log.Emit(event.CrashesAdopted, zap.Int("crashes", len(all)), zap.Int("suspects", suspected))
	return nil
}
