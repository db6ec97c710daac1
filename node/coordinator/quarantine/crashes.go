package quarantine

import (
	"encoding/json"
	"math"
	"reflect"
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
	// crashesRefresh is how often a row that does not change is written again, and crashesMaxAge
	// the age from which it is not read. It is for the loss of all hosts, which are back within
	// half a minute; an older one may name what was answered since, when nobody could write.
	crashesRefresh = 10 * time.Second
	crashesMaxAge  = time.Minute
)

// crashesRow is what is known of the row of crashes.
type crashesRow struct {
	exists     bool
	unreadable bool          // it is left as it is until there are crashes to keep
	value      *crashesValue // as it was written; nil: not by this process
	revision   uint64        // of the ledger, up to which the value is known to be current
	at         time.Time     // of the last write
}

// noRevision is a revision that no ledger reaches: the row must be compared.
const noRevision = math.MaxUint64

// crashesValue is the value of the row.
type crashesValue struct {
	AtMs     int64          `json:"at_unix_ms"` // of the write
	Suspects []suspectValue `json:"suspects"`
	Crashes  []crashValue   `json:"crashes"`
}

// suspectValue is a suspect that several crashes have in common.
type suspectValue struct {
	Digest string `json:"digest"`
	Shape  uint64 `json:"shape"`
	Place  uint8  `json:"place,omitempty"`
	// Answered is poison.Fingerprint.Answered.
	Answered bool `json:"answered,omitempty"`
}

// crashValue is the crash of an upstream.
type crashValue struct {
	Upstream string `json:"upstream"`
	AtMs     int64  `json:"at_unix_ms"`
	Ran      []int  `json:"ran,omitempty"` // indices of suspects
}

// newCrashesValue returns the value of the row; nil if there is nothing to keep.
func newCrashesValue(all []poison.Crash) *crashesValue {
	if len(all) == 0 {
		return nil
	}
	v := &crashesValue{}
	index := map[poison.Digest]int{}
	for _, x := range all {
		c := crashValue{Upstream: x.Upstream, AtMs: x.At.UnixMilli()}
		for _, f := range x.Ran {
			i, ok := index[f.Digest]
			if !ok {
				i = len(v.Suspects)
				index[f.Digest] = i
				v.Suspects = append(v.Suspects, suspectValue{f.Digest.String(), uint64(f.Shape), f.Place, f.Answered})
			}
			c.Ran = append(c.Ran, i)
		}
		v.Crashes = append(v.Crashes, c)
	}
	return v
}

// isOf reports whether v has the same crashes as another value; nil is that of no row.
func (v *crashesValue) isOf(other *crashesValue) bool {
	if v == nil || other == nil {
		return v == other
	}
	return reflect.DeepEqual(v.Suspects, other.Suspects) && reflect.DeepEqual(v.Crashes, other.Crashes)
}

// decodeCrashes decodes the value of the row.
func decodeCrashes(value []byte) (*crashesValue, error) {
	var v crashesValue
	err := json.Unmarshal(value, &v)
	return &v, eris.Wrap(err, "decode crashes of upstreams")
}

// decode returns the crashes of the row.
func (v *crashesValue) decode() ([]poison.Crash, error) {
	suspects := make([]poison.Fingerprint, len(v.Suspects))
	for i, s := range v.Suspects {
		d, err := poison.ParseDigest(s.Digest)
		if err != nil {
			return nil, err
		}
		suspects[i] = poison.Fingerprint{Digest: d, Shape: poison.Shape(s.Shape), Place: s.Place, Answered: s.Answered}
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
	since := now.Sub(r.at)
	return q.rows.read && (r.revision != q.ledger.Revision() && since >= crashesInterval || r.value != nil && since >= crashesRefresh)
}

// crashesWrite is a write of the row.
type crashesWrite struct {
	store.Write
	value    *crashesValue // nil: the row is deleted
	revision uint64        // of the ledger
}

// crashesWriteLocked returns the write of the row that is needed now; nil: none.
func (q *Ledger) crashesWriteLocked(now time.Time) (*crashesWrite, error) {
	if !q.crashesDueLocked(now) {
		return nil, nil
	}
	r := &q.rows.crashes
	w := &crashesWrite{Write: store.Write{Key: crashesKey}, revision: q.ledger.Revision()}
	w.value = newCrashesValue(q.ledger.CommonCrashes(maxRowCrashes, maxRowSuspects))
	switch {
	case w.value == nil && (!r.exists || r.unreadable), w.value != nil && w.value.isOf(r.value) && now.Sub(r.at) < crashesRefresh:
		r.revision = w.revision
		return nil, nil
	case w.value == nil:
		w.Delete = true
		return w, nil
	}
	w.value.AtMs = now.UnixMilli()
	var err error
	w.Value, err = json.Marshal(w.value)
	return w, eris.Wrap(err, "encode crashes of upstreams")
}

// recordCrashesLocked records that the row was written.
func (q *Ledger) recordCrashesLocked(w *crashesWrite) {
	q.rows.crashes = crashesRow{exists: !w.Delete, value: w.value, revision: w.revision, at: q.deps.Now()}
}

// readCrashesLocked reads the row of crashes, and enters it in a ledger that is to adopt it.
func (q *Ledger) readCrashesLocked(row *store.Row, adopt bool, now time.Time) error {
	v, err := decodeCrashes(row.Value)
	if err != nil {
		return err
	}
	all, err := v.decode()
	if err != nil {
		return err
	}
	if !adopt {
		return nil
	}
	age, adopted := now.Sub(time.UnixMilli(v.AtMs)), 0
	if age <= crashesMaxAge {
		q.ledger.AdoptCrashes(all, now)
		adopted = len(all)
	}
	suspected, _ := q.ledger.Counts()
	q.deps.Log.Emit(event.CrashesAdopted, zap.Int("crashes", adopted), zap.Int("suspects", suspected), zap.Int64("age_ms", age.Milliseconds()))
	return nil
}
