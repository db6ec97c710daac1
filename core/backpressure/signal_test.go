package backpressure_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/backpressure"
)

// seed makes every run draw the same; -rapid.seed overrides it.
const seed = "20260704"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}

// at is a time of a test's own clock.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func named(perSecond float64) backpressure.Limit {
	return backpressure.Limit{Stated: true, PerSecond: perSecond}
}

// Guards against a limit that is taken back, or kept, by an answer that was overtaken.
func TestTheNewestSignalHoldsWhateverTheOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SampledFrom([]backpressure.Limit{{}, named(0), named(1), named(50)})
		var all []backpressure.Signal
		newest := 0.0 // when the last answer was heard
		for range rapid.IntRange(0, 12).Draw(t, "signals") {
			made := rapid.Float64Range(0, 10).Draw(t, "made")
			s := backpressure.Signal{Limit: limits.Draw(t, "limit"), SentAt: at(made - rapid.Float64Range(0, 2).Draw(t, "way")),
				ReceivedAt: at(made + rapid.Float64Range(0, 2).Draw(t, "back"))}
			newest = max(newest, s.ReceivedAt.Sub(at(0)).Seconds())
			all = append(all, s)
		}
		last := backpressure.Signal{Limit: limits.Draw(t, "last"), SentAt: at(newest + 0.1), ReceivedAt: at(newest + 0.2)}
		all = append(all, last)
		var held backpressure.Signal
		for _, i := range rapid.Permutation(order(len(all))).Draw(t, "order") {
			held = backpressure.Merge(held, all[i])
		}
		assert.Equal(t, held.Limit, last.Limit)
	})
}

func order(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a moment without a limit between two answers that name it.
func TestOfAnswersThatCrossTheStricterHolds(t *testing.T) {
	limited := backpressure.Signal{Limit: named(1), SentAt: at(0), ReceivedAt: at(1)}
	crossing := backpressure.Signal{SentAt: at(0.5), ReceivedAt: at(1.2)}
	again := backpressure.Signal{Limit: named(1), SentAt: at(0.9), ReceivedAt: at(3)}
	assert.Equal(t, backpressure.Merge(limited, crossing).Limit, named(1))
	assert.Equal(t, backpressure.Merge(crossing, limited).Limit, named(1))
	before := backpressure.Signal{SentAt: at(2), ReceivedAt: at(2.5)}
	assert.Equal(t, backpressure.Merge(backpressure.Merge(limited, again), before).Limit, named(1))
}
