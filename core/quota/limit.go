// Package quota enforces limits on the requests of teams over all hosts together. A
// limit is a rate and a burst, in requests or in tokens.
//
// The acting coordinator keeps the Ledger that counts for all hosts. A request that gets
// its dispatch permit there is charged with the permit; what other hosts admit without it
// is reported to it. Each host keeps a Share of each team's account, by which it admits
// requests that need no permit, and all requests while there is no ledger.
package quota

// Unit is the unit of a limit.
type Unit uint8

// The units.
const (
	Requests Unit = iota
	Tokens
)

// Limit is a rate limit of a team. The zero value is no limit.
type Limit struct {
	Unit      Unit
	PerSecond float64 // 0 if there is no limit
	Burst     float64 // cost that may be admitted at once
	Plain     int     // tokens that a request counts as if its number of tokens is not given
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Cost returns the cost of a request. stated is whether the number of its tokens is given.
func (l Limit) Cost(tokens int, stated bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case stated:
		return float64(tokens)
	default:
		return float64(l.Plain)
	}
}

// capacity returns the most that may be admitted at once. Without a burst, one request
// must still fit.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }
