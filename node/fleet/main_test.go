package fleet_test

import (
	"flag"
	"os"
	"testing"
)

// seed makes every run draw the same values; -rapid.seed overrides it.
const seed = "20261202"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}
