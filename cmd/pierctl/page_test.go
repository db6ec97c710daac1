package main

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a command or flag that is added or renamed in the code but not on the page
// for operators.
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
