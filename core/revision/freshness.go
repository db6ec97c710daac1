package revision

import (
	"time"

	"peridotpier.example/core/class"
)

// Bounds of how long a host may go on without word from the table, its own or
// through a peer, that its version is the newest.
const (
	// UnconfirmedAfter is when a host says so: the time within which a change
	// must be in force everywhere.
	UnconfirmedAfter = 16 * time.Second
	// UrgentOnlyAfter is when a host takes urgent requests only. It lies above
	// the longest store outage that must not be felt, ten minutes; a change
	// counts as in force once every host that did not confirm it is past it.
	UrgentOnlyAfter = 15 * time.Minute
)

// Freshness is how far a host may rely on its version.
type Freshness uint8

// The standings.
const (
	Confirmed   Freshness = iota // lately known to be the newest
	Unconfirmed                  // may be old; serving goes on, operators are told
	UrgentOnly                   // too old to take anything but urgent requests
)

// String returns the standing as operators see it.
func (f Freshness) String() string {
	return [...]string{"confirmed", "unconfirmed", "urgent_only"}[f]
}

// FreshnessAt returns the standing of a host whose version was last known to
// be the newest at confirmed.
func FreshnessAt(confirmed, now time.Time) Freshness {
	switch age := now.Sub(confirmed); {
	case age <= UnconfirmedAfter:
		return Confirmed
	case age <= UrgentOnlyAfter:
		return Unconfirmed
	default:
		return UrgentOnly
	}
}

// Admits says whether a new request of a class may be taken. Urgent requests
// always may: the harm of a late answer is certain, that of an old
// configuration only possible.
func (f Freshness) Admits(c class.Class) bool { return f != UrgentOnly || c == class.Urgent }
