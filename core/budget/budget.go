// Package budget limits the repeats of a service: sends of a request beyond its first. All
// hosts together may make, in any time span of a stated length, a share of the requests of
// that span and a fixed number more, the slack.
//
// Several processes spend the allowance, each from an Account of its own. Together they
// stay within it whichever of them start, end or lose sight of each other:
//
//   - Each request is counted in one account and earns a part of a repeat there. That
//     credit lapses soon, so that what was earned in one span is not spent in a later one,
//     in which other accounts count the requests.
//   - At any time one account at most has the slack, and it has it only after a whole span in
//     which no other account had it.
//
// A repeat counts when the upstream reads it, which may be long after it was permitted. One
// that is not known to have been read soon is late: what it was taken from stays spent until a
// span after it is known to have been read. Credit that lapsed within the span unspent makes up
// for that which a late repeat was taken from.
package budget

import "time"

// Policy is the allowance that all hosts share.
type Policy struct {
	Ratio  float64       // repeats for each request in the window
	Slack  float64       // additional repeats, over all hosts
	Window time.Duration // the allowance holds for any time span of this length
}

const (
	// creditShare is the share of the ratio that a request earns. A span holds what its own
	// requests earn, and what those earned that came at most freshBuckets before it, and for
	// which a repeat was permitted at most permitBuckets before it: together less than the ratio.
	creditShare = 0.85
	// slackShare is the share of the slack that is spent.
	slackShare = 0.95
	// bucketCount is the number of buckets in a window.
	bucketCount = 20
	// freshBuckets is the lifetime of credit, in buckets.
	freshBuckets = 2
	// permitBuckets is for how many buckets a permitted repeat may be sent.
	permitBuckets = 1
	// ringSize is how many buckets are counted: a repeat is sent up to permitBuckets after it
	// was permitted, and the newest bucket is not complete.
	ringSize = bucketCount + permitBuckets + 1
	// rounding is by how much a sum of credits may fall short of a repeat.
	rounding = 1e-9
)

// PermitLifetime returns for how long a permitted repeat may be sent.
func (p Policy) PermitLifetime() time.Duration { return p.bucket() * permitBuckets }

// LateAfter returns for how long a sent repeat may not be known to have been read until
// Account.CountLate must be told of it: less than PermitLifetime by what the way to the account takes.
func (p Policy) LateAfter() time.Duration { return p.PermitLifetime() / 2 }

// RecountAfter returns after how long a late repeat that is still not known to have been read
// must be counted anew: well before its place is free again.
func (p Policy) RecountAfter() time.Duration { return p.Window / 2 }

// SlackPause returns how long no account may have the slack before another one gets it.
func (p Policy) SlackPause() time.Duration { return p.Window + p.PermitLifetime() }

func (p Policy) bucket() time.Duration { return p.Window / bucketCount }

// Account counts the requests and repeats of one service in one process. Its owner must
// guard it.
type Account struct {
	policy Policy
	origin time.Time // start of the first bucket, on the monotonic clock
	newest int64     // number of the newest bucket

	requests [ringSize]int
	repeats  [ringSize]int     // permitted
	slack    [ringSize]float64 // part of these that was permitted from the slack
	credit   [ringSize]float64 // earned and not spent; 0 once it has lapsed
	lapsed   [ringSize]float64 // credit that was not spent until it lapsed, by when it was earned
	late     [ringSize]float64 // part of late repeats that was taken from credit, by when they were counted last
}

// NewAccount returns an account without requests.
func NewAccount(p Policy, now time.Time) *Account { return &Account{policy: p, origin: now} }

// Count counts requests of callers that come now.
func (a *Account) Count(requests int, now time.Time) { a.CountSpan(requests, now, now, now) }

// CountSpan counts requests of callers that came evenly between two times. What they have
// earned lapses by when they came: whoever counts them late must not permit, for them, repeats
// of a later span.
func (a *Account) CountSpan(requests int, from, to, now time.Time) {
	a.advance(now)
	a.requests[a.index(a.newest)] += requests
	first, last := a.bucketAt(from), a.bucketAt(to)
	earned := creditShare * a.policy.Ratio * float64(requests)
	for n := max(first, a.newest-ringSize+1, 0); n <= min(last, a.newest); n++ {
		a.earn(n, earned*a.overlap(n, from, to))
	}
}

// earn adds credit that was earned in the n-th bucket.
func (a *Account) earn(n int64, credit float64) {
	if n <= a.newest-freshBuckets {
		a.lapsed[a.index(n)] += credit
		return
	}
	a.credit[a.index(n)] += credit
}

// overlap returns the part of the time between two times that is in the n-th bucket.
func (a *Account) overlap(n int64, from, to time.Time) float64 {
	if a.bucketAt(from) == a.bucketAt(to) {
		return 1
	}
	start := a.origin.Add(time.Duration(n) * a.policy.bucket())
	end := start.Add(a.policy.bucket())
	if from.After(start) {
		start = from
	}
	if to.Before(end) {
		end = to
	}
	return float64(end.Sub(start)) / float64(to.Sub(from))
}

// bucketAt returns the number of the bucket that a time is in.
func (a *Account) bucketAt(t time.Time) int64 {
	since := t.Sub(a.origin)
	if since < 0 {
		return -1
	}
	return int64(since / a.policy.bucket())
}

// Usage is the state of an account.
type Usage struct {
	Requests int     // counted in the window
	Repeats  int     // permitted in the window
	Credit   float64 // repeats that requests have earned and that are not spent
	Slack    float64 // repeats that the slack permits besides
	Late     float64 // of these, what is kept for late repeats that were taken from credit
	// FromSlack is the part of the repeat just permitted that was taken from the slack; the
	// rest was credit.
	FromSlack float64
}

// Late is a repeat that was not known to have been read soon after it was permitted.
type Late struct {
	Age       time.Duration // since it was permitted, or counted as late before
	Again     bool          // it was counted as late before
	FromSlack float64       // see Usage
}

// Take permits a repeat and reports whether the allowance does. The repeat must be sent
// within Policy.PermitLifetime. hasSlack is whether this account has the slack.
func (a *Account) Take(hasSlack bool, now time.Time) (Usage, bool) {
	a.advance(now)
	u := a.usage(hasSlack)
	if u.Credit+u.Slack-u.Late < 1-rounding {
		return u, false
	}
	fromCredit := min(u.Credit, 1)
	a.spendCredit(fromCredit)
	i := a.index(a.newest)
	a.slack[i] += 1 - fromCredit
	a.repeats[i]++
	u = a.usage(hasSlack)
	u.FromSlack = 1 - fromCredit
	return u, true
}

// CountLate counts a late repeat from now on, in place of when it was counted before. Another
// account may have permitted it.
func (a *Account) CountLate(l Late, now time.Time) {
	a.advance(now)
	fromCredit := 1 - l.FromSlack
	if n := a.bucketAt(now.Add(-l.Age)); n >= 0 && n > a.newest-ringSize {
		i := a.index(n)
		a.slack[i] = max(a.slack[i]-l.FromSlack, 0)
		if l.Again {
			a.late[i] = max(a.late[i]-fromCredit, 0)
		}
	}
	i := a.index(a.newest)
	a.slack[i] += l.FromSlack
	a.late[i] += fromCredit
}

func (a *Account) usage(hasSlack bool) Usage {
	var u Usage
	spent := 0.0
	for i := range a.requests {
		u.Requests += a.requests[i]
		u.Repeats += a.repeats[i]
		u.Credit += a.credit[i]
		u.Late += a.late[i]
		spent += a.slack[i]
	}
	u.Late = max(u.Late-a.lapsedInWindow(), 0)
	if hasSlack {
		u.Slack = max(slackShare*a.policy.Slack-spent, 0)
	}
	return u
}

// lapsedInWindow returns the credit that lapsed unspent, of the requests of the window.
func (a *Account) lapsedInWindow() (sum float64) {
	for n := max(a.newest-bucketCount+1, 0); n <= a.newest; n++ {
		sum += a.lapsed[a.index(n)]
	}
	return sum
}

// spendCredit spends credit, the oldest first.
func (a *Account) spendCredit(amount float64) {
	for n := max(a.newest-freshBuckets+1, 0); n <= a.newest; n++ {
		spent := min(amount, a.credit[a.index(n)])
		a.credit[a.index(n)] -= spent
		amount -= spent
	}
}

// advance clears the buckets that are no longer part of the window, and lets credit lapse.
func (a *Account) advance(now time.Time) {
	at := a.bucketAt(now)
	if at-a.newest >= ringSize {
		*a = Account{policy: a.policy, origin: a.origin, newest: at}
	}
	for a.newest < at {
		a.newest++
		i := a.index(a.newest)
		a.requests[i], a.repeats[i], a.slack[i], a.credit[i], a.lapsed[i], a.late[i] = 0, 0, 0, 0, 0, 0
		if stale := a.newest - freshBuckets; stale >= 0 {
			s := a.index(stale)
			a.lapsed[s], a.credit[s] = a.credit[s], 0
		}
	}
}

// index returns the array index of the n-th bucket.
func (a *Account) index(n int64) int64 { return n % ringSize }
