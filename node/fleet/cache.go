package fleet

import "time"

// PromptPart is one piece of a request's prompt; requests share the leading ones.
type PromptPart struct {
	ID     string
	Tokens int
}

const (
	// maxCachedParts is how many parts are remembered of one upstream. Its own
	// memory holds a few hundred.
	maxCachedParts = 512
	// cachedPartTTL is how long a part is expected to be kept: a loaded engine
	// turns its memory over in about this time.
	cachedPartTTL = 8 * time.Second
)

// PromptCache remembers which parts of prompts this host has had read at an
// upstream. It is a guess that only parts otherwise equal choices.
type PromptCache map[string]time.Time

func partKey(a *Request, id string) string { return a.Model + "/" + a.Adapter + "/" + id }

// CachedTokens is how many leading tokens of the prompt are probably kept.
func (c PromptCache) CachedTokens(a *Request, now time.Time) int {
	sum := 0
	for _, p := range a.PromptParts {
		at, ok := c[partKey(a, p.ID)]
		if !ok || now.Sub(at) > cachedPartTTL {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// Record notes that the parts of a prompt were read. The last part is the
// request's own, and seldom comes again.
func (c *PromptCache) Record(a *Request, now time.Time) {
	if len(a.PromptParts) < 2 {
		return
	}
	if *c == nil || len(*c) > maxCachedParts {
		*c = PromptCache{}
	}
	for _, p := range a.PromptParts[:len(a.PromptParts)-1] {
		(*c)[partKey(a, p.ID)] = now
	}
}
