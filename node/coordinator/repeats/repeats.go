// Package repeats counts the requests and the repeats of each service over all hosts while
// its host is the acting coordinator, and permits repeats within the allowance.
//
// The accounts grow with the services; neither with the hosts nor with the requests. The
// mutex of a Ledger guards them; no other is taken under it.
package repeats

import (
	"sync"
	"time"

	"peridotpier.example/core/budget"
)

// Ledger is the account of each service.
type Ledger struct {
	policy budget.Policy

	mu        sync.Mutex
	accounts  map[string]*budget.Account
	slackFrom time.Time // from then on the slack is this ledger's, in the term in which it was set
	hasTerm   bool      // slackFrom is set
}

// New returns a Ledger that has counted nothing.
func New(p budget.Policy) *Ledger {
	return &Ledger{policy: p, accounts: map[string]*budget.Account{}}
}

// Reset drops what was counted when this host was acting before: another coordinator has
// counted since, and may have spent the slack.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts, l.hasTerm = map[string]*budget.Account{}, false
}

// BeginTerm gives the ledger the slack, after a pause unless it is the first that has it. It
// changes nothing if this ledger had it last.
func (l *Ledger) BeginTerm(first, hadLast bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasTerm && hadLast {
		return
	}
	l.hasTerm, l.slackFrom = true, now
	if !first {
		l.slackFrom = now.Add(l.policy.SlackPause())
	}
}

// Count counts requests of callers for a service, which came evenly between two times.
func (l *Ledger) Count(service string, requests int, from, to, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accountLocked(service, now).CountSpan(requests, from, to, now)
}

// Take permits a repeat of a service's request and reports whether the allowance does.
// holds is whether this host holds the lease now: without it the slack is not spent.
func (l *Ledger) Take(service string, holds bool, now time.Time) (budget.Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountLocked(service, now).Take(holds && l.hasTerm && !now.Before(l.slackFrom), now)
}

// CountLate counts a late repeat of a service.
func (l *Ledger) CountLate(service string, r budget.Late, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accountLocked(service, now).CountLate(r, now)
}

func (l *Ledger) accountLocked(service string, now time.Time) *budget.Account {
	a := l.accounts[service]
	if a == nil {
		a = budget.NewAccount(l.policy, now)
		l.accounts[service] = a
	}
	return a
}
