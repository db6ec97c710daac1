package fleet

import "time"

// Part is one piece of a request's prompt; requests share the leading ones.
type Part struct {
	ID     string
	Tokens int
}

const (
	// cacheMost is how many parts are remembered of one upstream. Its own
	// memory holds a few hundred.
	cacheMost = 512
	// cacheFor is how long a part is expected to be kept: a loaded engine
	// turns its memory over in about this time.
	cacheFor = 8 * time.Second
)

// Cache remembers which parts of prompts this host has had read at an
// upstream. It is a guess that only parts otherwise equal choices.
type Cache map[string]time.Time

func partKey(a *Ask, id string) string { return a.Model + "/" + a.Adapter + "/" + id }

// Prefix is how many leading tokens of the prompt are probably kept.
func (c Cache) Prefix(a *Ask, now time.Time) int {
	sum := 0
	for _, p := range a.Parts {
		at, ok := c[partKey(a, p.ID)]
		if !ok || now.Sub(at) > cacheFor {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// Keep notes that the parts of a prompt were read. The last part is the
// request's own, and seldom comes again.
func (c *Cache) Keep(a *Ask, now time.Time) {
	if len(a.Parts) < 2 {
		return
	}
	if *c == nil || len(*c) > cacheMost {
		*c = Cache{}
	}
	for _, p := range a.Parts[:len(a.Parts)-1] {
		(*c)[partKey(a, p.ID)] = now
	}
}
