package fairqueue

// creditRequests bounds how far a team may lag behind its rank, in requests of the size of
// the one that it asks for. A team that asks for less than its share on average keeps its
// share when some of its requests arrive together; with a larger bound, a team that asked
// for nothing, or only for what a lost upstream has, would then have all capacity for long.
const creditRequests = 16.0

// rank holds the accounts of one rank.
type rank struct {
	virtual  float64 // virtual time: the start tag of the latest grant
	accounts map[string]*account
	waiting  int
	owed     float64 // work that the rank may have before more urgent ones
	largest  float64 // cost of its largest request since it began to wait
	sweepAt  int     // number of accounts from which idle ones are dropped
}

// account is what one team was granted in one rank, as virtual time: work by weight.
type account struct {
	weight  float64
	finish  float64 // finish tag of the team's latest grant; the start tag of its next one
	credit  float64 // by how much that may lag behind the virtual time, as of its last request
	skipped float64 // in a scan: cost by weight of the team's requests that were passed over
	waiting int
}

const firstSweep = 64 // number of accounts that a rank may keep without looking for idle ones

func newRank() *rank { return &rank{accounts: map[string]*account{}, sweepAt: firstSweep} }

// accountOf returns a team's account for a request.
func (r *rank) accountOf(q Request) *account {
	a := r.accounts[q.Team]
	if a == nil {
		r.sweep()
		a = &account{finish: r.virtual}
		r.accounts[q.Team] = a
	}
	a.weight = usableWeight(q.Weight)
	if a.waiting == 0 {
		a.finish = r.start(a, q.Cost)
	}
	return a
}

// start returns the start tag of a team's next request.
func (r *rank) start(a *account, cost float64) float64 {
	a.credit = creditRequests * cost / a.weight
	return max(a.finish, r.virtual-a.credit)
}

// charge adds a grant to a team's account.
func (r *rank) charge(a *account, cost float64) {
	start := r.start(a, cost)
	r.virtual = max(r.virtual, start)
	a.finish = start + cost/a.weight
}

// sweep drops the accounts that are as good as new once there are twice as many accounts as
// after the last time, so that a push takes constant time on average.
func (r *rank) sweep() {
	if len(r.accounts) < r.sweepAt {
		return
	}
	for team, a := range r.accounts {
		if a.waiting == 0 && a.finish+a.credit <= r.virtual {
			delete(r.accounts, team)
		}
	}
	r.sweepAt = max(2*len(r.accounts), firstSweep)
}

// usableWeight returns the weight to compute with: an unusable one counts as 1.
func usableWeight(w float64) float64 {
	if w > 0 && w <= maxWeight {
		return w
	}
	return 1
}

// maxWeight keeps virtual times finite and precise.
const maxWeight = 1e9
