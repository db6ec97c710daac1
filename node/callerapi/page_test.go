package callerapi

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a code that a caller gets and the page does not explain: a code
// is added, or its status changes, in the code only.
func TestThePageExplainsEachCode(t *testing.T) {
	data, err := os.ReadFile("../../docs/callers.md")
	assert.NilError(t, err)
	page := string(data)
	for code, status := range statuses {
		row := regexp.MustCompile(`(?m)^\| (\d{3}) \|.*` + "`" + string(code) + "`").FindStringSubmatch(page)
		if assert.Check(t, row != nil, "%s is not named", code) {
			assert.Check(t, row[1] == strconv.Itoa(status), "%s has status %d, not %s", code, status, row[1])
		}
	}
	for _, header := range []string{HeaderIdempotencyKey, HeaderClass, HeaderDeadline, HeaderRequestID, HeaderResume, HeaderReplayed, headerLastEvent} {
		assert.Check(t, strings.Contains(page, "`"+header+"`"), "%s is not named", header)
	}
}
