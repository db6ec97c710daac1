package replica_test

import (
	"flag"
	"os"
	"testing"
)

// seed fixes the random draws of all runs; -rapid.seed overrides it.
const seed = "20260704"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}
