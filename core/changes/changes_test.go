package changes_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotpier.example/core/changes"
)

// seed fixes the random draws of all runs; -rapid.seed overrides it.
const seed = "20260704"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}

// Property: a follower that reads a log in parts of any size sees each key's
// newest change, also of keys that changed many times, and no key that was removed
// before.
func TestAFollowerSeesEachNewestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l changes.Log[int]
		newest, followed := map[int]uint64{}, uint64(0)
		seen := map[int]uint64{}
		revision := uint64(0)
		follow := func(limit int) bool {
			keys, to, complete := l.Since(followed, limit)
			if len(keys) == 0 {
				assert.Assert(t, complete)
				return true
			}
			assert.Assert(t, to > followed)
			followed = to
			for _, k := range keys {
				seen[k] = to
			}
			return complete
		}
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.Forget(key)
				delete(newest, key)
			case 1:
				follow(rapid.IntRange(1, 5).Draw(t, "most"))
			default:
				revision += uint64(rapid.IntRange(0, 1).Draw(t, "by"))
				if revision == followed {
					revision++ // this revision was already followed
				}
				l.Record(key, revision)
				newest[key] = revision
			}
		}
		for !follow(3) {
		}
		for key, at := range newest {
			assert.Assert(t, seen[key] >= at, "key %d changed at %d, seen at %d", key, at, seen[key])
		}
	})
}
