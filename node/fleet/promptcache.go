package fleet

import "time"

// PromptPart is one part of a request's prompt. Requests can have leading parts in
// common.
type PromptPart struct {
	ID     string
	Tokens int
}

const (
	// maxCachedParts is how many parts are remembered of one upstream. Its own cache
	// holds a few hundred.
	maxCachedParts = 512
	// cachedPartTTL is how long a part is expected to stay in the upstream's cache: an
	// engine under load replaces its cache in about this time.
	cachedPartTTL = 8 * time.Second
)

// PromptCache records when an upstream has read which parts of prompts from this host. It
// is an estimate that only decides between otherwise equal choices.
type PromptCache map[string]time.Time

func partKey(req *Request, id string) string { return req.Model + "/" + req.Adapter + "/" + id }

// CachedTokens returns how many leading tokens of the prompt are probably cached.
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

// Record records that the parts of a prompt were read. It leaves out the last part, which
// belongs to the request alone and is seldom repeated.
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
