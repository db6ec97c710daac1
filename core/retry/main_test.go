package retry

import (
	"flag"
	"os"
	"testing"
)

// seed makes the property tests draw the same inputs on every run; -rapid.seed overrides it.
const seed = "20260704"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}
