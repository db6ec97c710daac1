package dispatch

import (
	"bytes"
	"sync"
	"time"

	"peridotpier.example/core/route"
)

const (
	// paceEach is how many tokens of a stream make one sample of an upstream's
	// pace: enough that tokens which arrive together do not distort it.
	paceEach = 8
	// lengthWeight is the part that one answer has in the mean length.
	lengthWeight = 0.05
	// lengthSpare is by how much an answer may be longer than its model's mean
	// before a prediction falls short.
	lengthSpare = 1.5
)

// pacer measures the time between a stream's tokens as they arrive.
type pacer struct {
	position int
	at       time.Time
}

// note takes the stream's position now; a sample is the time of one token.
func (p *pacer) note(position int, now time.Time) (step time.Duration, ok bool) {
	if p.at.IsZero() {
		p.position, p.at = position, now
		return 0, false
	}
	passed := position - p.position
	if passed < paceEach {
		return 0, false
	}
	step = now.Sub(p.at) / time.Duration(passed)
	p.position, p.at = position, now
	return step, true
}

// lengths learns how long the answers of each model are. What callers allow is
// often far more than what they get: were it taken for the length, requests
// would be refused as too long for their deadline which are not.
type lengths struct {
	mu   sync.RWMutex
	mean map[route.ModelKey]float64
}

func newLengths() *lengths { return &lengths{mean: map[route.ModelKey]float64{}} }

func (l *lengths) learn(key route.ModelKey, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.mean[key]
	if !known {
		mean = float64(tokens)
	}
	l.mean[key] = mean + lengthWeight*(float64(tokens)-mean)
}

// predict is the length to expect of an answer of which at most so many tokens are allowed.
func (l *lengths) predict(key route.ModelKey, most int) int {
	l.mu.RLock()
	mean, known := l.mean[key]
	l.mu.RUnlock()
	if !known || most == 0 {
		return 0
	}
	return min(most, int(lengthSpare*mean))
}

var usageField = []byte(`"completion_tokens":`)

// usedTokens reads the length that an unstreamed answer states; 0: none.
func usedTokens(body []byte) int {
	_, rest, ok := bytes.Cut(body, usageField)
	if !ok {
		return 0
	}
	rest = bytes.TrimLeft(rest, " ")
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	n, _ := number(rest[:end]) // not a number: 0, nothing to learn
	return n
}
