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

func partKey(req *Request, id string) string { return req.Model + "/" + req.Adapter + "/" + id }

// CachedTokens is how many leading tokens of the prompt are probably kept.
func (c PromptCache) CachedTokens(req *Request, now time.Time) int {
	total := 0
	for _, p := range req.PromptParts {
		at, ok := c[partKey(req, p.ID)]
		if !ok || now.Sub(at) > cachedPartTTL {
			break
		}
		total += p.Tokens
	}
	return total
}

// Record notes that the parts of a prompt were read. The last part is the
// request's own, and seldom comes again.
func (c *PromptCache) Record(req *Request, now time.Time) {
	if len(req.PromptParts) < 2 {
		return
	}
	if *c == nil || len(*c) > maxCachedParts {
		*c = PromptCache{}
	}
	for _, p := range req.PromptParts[:len(req.PromptParts)-1] {
		(*c)[partKey(req, p.ID)] = now
	}
}
