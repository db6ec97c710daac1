package prefill

import "time"

// Ahead is what a grant that precedes the report of a first event counts on.
type Ahead struct {
	Tokens  int           // of the prompts that are not reported as read, and count as read
	Advance time.Duration // how long before the expected report of the first event
}

// Ahead returns what need not be waited for before a prompt is granted that takes read.
// The oldest prompt counts as read once its predicted reading, and the usual error of the
// prediction, have passed since it could begin: the next prompt then arrives as the
// engine ends it. The report of its first event comes Service.Overhead later, and no
// prompt is granted more than that ahead, nor beside a second one that is not reported.
//
// It is granted only if it makes fewer streams late, by Late, than the engine serves
// requests in the time that is gained.
func (p *Pipeline) Ahead(read time.Duration, s *Service, slowdown float64, now time.Time) Ahead {
	lost := p.lostTokens(s, now)
	if lost > 0 || len(p.prompts) != 1 {
		return Ahead{Tokens: lost}
	}
	due := p.readyAt(s)
	if now.Before(due) {
		return Ahead{}
	}
	first := &p.prompts[0]
	gained := first.end(p.freeAt).Add(s.Overhead()).Sub(now)
	if gained <= 0 || p.Late(read, s, slowdown, now)*read.Seconds() >= gained.Seconds() {
		return Ahead{}
	}
	return Ahead{Tokens: first.Tokens, Advance: gained}
}

// NextAhead returns when a prompt may next be granted ahead. ok is false if none may
// before a report, or if no bound is stated.
func (p *Pipeline) NextAhead(s *Service, now time.Time) (at time.Time, ok bool) {
	if len(p.prompts) != 1 || p.prompts[0].Bound == 0 || s.Overhead() <= s.Error() {
		return time.Time{}, false
	}
	at = p.readyAt(s)
	return at, at.After(now)
}

// readyAt returns from when on the only prompt counts as read.
func (p *Pipeline) readyAt(s *Service) time.Time {
	return p.prompts[0].end(p.freeAt).Add(s.Error())
}

// maxLateness is the multiple of the expected time after which the report of a first event
// counts as lost: its host froze, or the report did not arrive. An engine that is so slow
// gets one more prompt in that time.
const maxLateness = 8

// lostTokens returns the tokens of the prompts whose reports count as lost. Without it an
// engine would get no prompt until the host's stream ends. While a prompt waits that was
// granted after one was lost, none counts: an engine that is frozen gets one at a time.
func (p *Pipeline) lostTokens(s *Service, now time.Time) int {
	lost, end := 0, p.freeAt
	var since time.Time // when the first of them was lost
	for i := range p.prompts {
		g := &p.prompts[i]
		end = g.end(end)
		lostAt := g.at.Add(maxLateness * (end.Sub(g.at) + s.Overhead()))
		switch {
		case now.After(lostAt):
			lost += g.Tokens
			if since.IsZero() {
				since = lostAt
			}
		case !since.IsZero() && g.at.After(since):
			return 0
		}
	}
	return lost
}
