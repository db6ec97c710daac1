package main

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: an operator finds a command or flag that no page explains.
// Sequence: it is added or renamed in the code alone.
// Cause: page and code are kept apart.
func TestThePageNamesEveryCommandAndFlag(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/commands.md")
	assert.NilError(t, err)
	page := string(data)
	for _, c := range append(operatorCommands(), trialCommands()...) {
		assert.Check(t, strings.Contains(page, "| `"+c.Name()), "%s is not named", c.Name())
		fs := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
		c.SetFlags(fs)
		fs.VisitAll(func(f *flag.Flag) {
			assert.Check(t, strings.Contains(page, "--"+f.Name), "--%s of %s is not named", f.Name, c.Name())
		})
	}
}
