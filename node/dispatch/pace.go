package dispatch

import (
	"bytes"
	"sync"
	"time"

	"peridotpier.example/core/route"
)

const (
	// paceSampleTokens is how many tokens of a stream make one sample of an upstream's
	// pace: enough that tokens which arrive together do not distort it.
	paceSampleTokens = 8
	// lengthWeight is the part that one answer has in the mean length.
	lengthWeight = 0.05
	// lengthHeadroom is by how much an answer may be longer than its model's mean
	// before a prediction falls short.
	lengthHeadroom = 1.5
)

// paceMeter measures the time between a stream's tokens as they arrive.
type paceMeter struct {
	position int
	at       time.Time
}

// sample takes the stream's position now; a sample is the time of one token.
func (p *paceMeter) sample(position int, now time.Time) (step time.Duration, ok bool) {
	if p.at.IsZero() {
		p.position, p.at = position, now
		return 0, false
	}
	tokens := position - p.position
	if tokens < paceSampleTokens {
		return 0, false
	}
	step = now.Sub(p.at) / time.Duration(tokens)
	p.position, p.at = position, now
	return step, true
}

// answerLengths learns how long the answers of each model are. What callers allow is
// often far more than what they get: were it taken for the length, requests
// would be refused as too long for their deadline which are not.
type answerLengths struct {
	mu   sync.RWMutex
	mean map[route.ModelKey]float64
}

func newAnswerLengths() *answerLengths { return &answerLengths{mean: map[route.ModelKey]float64{}} }

func (l *answerLengths) observe(key route.ModelKey, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.mean[key]
	if !known {
		mean = float64(tokens)
	}
	l.mean[key] = mean + lengthWeight*(float64(tokens)-mean)
}

// predict is the length to expect of an answer of which at most so many tokens are allowed.
func (l *answerLengths) predict(key route.ModelKey, maxTokens int) int {
	l.mu.RLock()
	mean, known := l.mean[key]
	l.mu.RUnlock()
	if !known || maxTokens == 0 {
		return 0
	}
	return min(maxTokens, int(lengthHeadroom*mean))
}

var usageField = []byte(`"completion_tokens":`)

// completionTokens reads the length that an unstreamed answer states; 0: none.
func completionTokens(body []byte) int {
	_, rest, ok := bytes.Cut(body, usageField)
	if !ok {
		return 0
	}
	rest = bytes.TrimLeft(rest, " ")
	end := 0
	for end < len(rest) && rest[end] >= '0' && rest[end] <= '9' {
		end++
	}
	n, _ := parseNumber(rest[:end]) // not a number: 0, nothing to learn
	return n
}
