package dispatch

import (
	"bytes"
	"sync"
	"time"

	"peridotpier.example/core/route"
)

const (
	// paceSampleTokens is the number of tokens of a stream in one sample of an
	// upstream's pace: enough that tokens which arrive together do not distort it.
	paceSampleTokens = 8
	// lengthWeight is the weight of one answer in the moving average of lengths.
	lengthWeight = 0.05
	// lengthHeadroom is the factor by which predictions exceed the mean length of a
	// model's answers.
	lengthHeadroom = 1.5
)

// paceMeter measures the time between a stream's tokens as they arrive.
type paceMeter struct {
	position int
	at       time.Time
}

// sample records the stream's position at now. If enough tokens have arrived
// since the last sample, it returns the mean time per token and true.
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

// answerLengths keeps a moving average of the length of each model's answers.
// Callers often allow far more tokens than they get. If the allowed number were
// used as the length, requests would be refused as too long for their deadline
// although they are not.
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

// predict returns the expected length, in tokens, of an answer of at most
// maxTokens; 0: unknown.
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

// completionTokens returns the number of tokens that an unstreamed answer states;
// 0: none.
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
	n, _ := parseNumber(rest[:end]) // not a number: 0, which is not recorded
	return n
}
