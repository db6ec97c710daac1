package event_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/event"
)

// row matches a table row of docs/EVENTS.md that begins with a number.
var row = regexp.MustCompile(`(?m)^\| \d+ \|.*$`)

// Guards against an event number that an operator does not find on the page, or
// finds with another event: an event is added, renumbered or reworded in the code
// only.
func TestThePageListsExactlyTheEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	listed := map[string]bool{}
	for _, line := range row.FindAllString(string(page), -1) {
		assert.Assert(t, !listed[line], "listed twice: %s", line)
		listed[line] = true
	}
	numbers, names := map[int]string{}, map[string]int{}
	for _, e := range event.All() {
		assert.Assert(t, numbers[e.Number] == "", "%s and %s share number %d", numbers[e.Number], e.Name, e.Number)
		assert.Assert(t, names[e.Name] == 0, "%d and %d share name %s", names[e.Name], e.Number, e.Name)
		numbers[e.Number], names[e.Name] = e.Name, e.Number
		want := fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.About)
		assert.Check(t, listed[want], "docs/EVENTS.md lacks the row\n%s", want)
		delete(listed, want)
	}
	for line := range listed {
		t.Errorf("docs/EVENTS.md has a row of no event:\n%s", line)
	}
}
