package event_test

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"peridotpier.example/node/event"
)

// section matches a heading of docs/EVENTS.md with the table of its hundred numbers.
var section = regexp.MustCompile(`(?m)^## (\d+) .*\n\n\| number.*\n\| ---.*\n(?:\|.*\n)*`)

// TestUpdate rewrites the page when run with -update. Without the flag it does
// nothing; TestThePageListsExactlyTheEvents checks the page.
func TestUpdate(t *testing.T) {
	if !golden.FlagUpdate() {
		return
	}
	const file = "../../docs/EVENTS.md"
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	all := event.All()
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	next := section.ReplaceAllStringFunc(string(page), func(old string) string {
		lines := strings.SplitAfterN(old, "\n", 5)
		var first int
		_, err := fmt.Sscanf(old, "## %d", &first)
		assert.NilError(t, err)
		out := strings.Join(lines[:4], "")
		for _, e := range all {
			if e.Number/100 == first/100 {
				out += fmt.Sprintf("| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.About)
			}
		}
		return out
	})
	assert.NilError(t, os.WriteFile(file, []byte(next), 0o644))
}
