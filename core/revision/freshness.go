package revision

import (
	"time"

	"peridotpier.example/core/class"
)

// Limits on how long a host may serve without confirmation, from the table itself
// or through a peer, that its version is the newest.
const (
	// UnconfirmedAfter is when a host reports itself unconfirmed: the time within
	// which a change must be in force everywhere.
	UnconfirmedAfter = 16 * time.Second
	// UrgentOnlyAfter is when a host starts to accept urgent requests only. It is
	// longer than the longest store outage that callers must not notice, ten
	// minutes; a change counts as in force once this time has passed for every
	// host that did not confirm the change.
	UrgentOnlyAfter = 15 * time.Minute
)

// Freshness is how far a host may rely on its version of the configuration.
type Freshness uint8

// The degrees of freshness.
const (
	Confirmed   Freshness = iota // recently confirmed to be the newest
	Unconfirmed                  // may be outdated; the host goes on serving and reports that to operators
	UrgentOnly                   // too old to accept anything but urgent requests
)

// String returns the freshness as operators see it.
func (f Freshness) String() string {
	return [...]string{"confirmed", "unconfirmed", "urgent_only"}[f]
}

// FreshnessAt returns the freshness of a host whose version was last known to be
// the newest at confirmed.
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

// Admits reports whether a new request of a class may be accepted. Urgent ones
// always are: a late answer certainly does harm, an outdated configuration only
// possibly.
func (f Freshness) Admits(c class.Class) bool { return f != UrgentOnly || c == class.Urgent }
