package quarantine

import (
	"time"

	"peridotpier.example/core/poison"
)

// formerBar is a bar that only a former coordinator announced.
type formerBar struct {
	poison.Entry
	until time.Time // when this host ends it, unless the acting coordinator announces it
}

// formerBarTTL is how long such a bar lasts: a few reports.
const formerBarTTL = 2 * time.Second

// expireFormerLocked drops what the former coordinator announced, except for its bars. Its
// successor announces again those that still apply, since all hosts report all bars to it;
// until then it may suspect what is barred.
func (g *Guard) expireFormerLocked(now time.Time) {
	for d, e := range g.fromCoordinator {
		if e.State == poison.Barred {
			g.former[d] = formerBar{e, now.Add(formerBarTTL)}
		}
	}
	g.fromCoordinator = map[poison.Digest]poison.Entry{}
}

// formerLocked ends the bars of former coordinators whose time is over, and returns the others.
func (g *Guard) formerLocked(now time.Time) []poison.Entry {
	var out []poison.Entry
	for d, b := range g.former {
		if !now.Before(b.until) {
			delete(g.former, d)
			continue
		}
		out = append(out, b.Entry)
	}
	return out
}
