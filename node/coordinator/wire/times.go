package wire

import "time"

const (
	// MinReportPeriod is the shortest period between a host's reports, used where there
	// are few hosts. The other hosts' loads are then known within a fraction of the
	// time that an upstream takes to read a prompt. Many hosts are told to report less
	// often; see SiteState.PeriodMs.
	MinReportPeriod = 200 * time.Millisecond
	// ReportTimeout is how long a report may take to be answered.
	ReportTimeout = 500 * time.Millisecond
	// freshPeriods and minFresh determine how long a host's report counts: for a few of
	// its periods, so that one lost report doesn't hide its load.
	freshPeriods = 3
	minFresh     = 900 * time.Millisecond
)

// Milliseconds returns a duration that a message states in milliseconds.
func Milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// AgeMs returns an age in milliseconds, limited to an hour.
func AgeMs(age time.Duration) uint32 { return uint32(min(max(age, 0), time.Hour).Milliseconds()) }

// ageMs returns how long ago something happened, in milliseconds, limited to an hour.
func ageMs(at, now time.Time) uint32 {
	return AgeMs(now.Sub(at))
}

// FreshFor returns how long a message counts that is sent once in each period.
func FreshFor(period time.Duration) time.Duration { return minFresh + freshPeriods*period }

// ReportFresh is FreshFor(MinReportPeriod).
const ReportFresh = minFresh + freshPeriods*MinReportPeriod
