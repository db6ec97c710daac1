package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotpier.example/node/settings"
)

func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/settings.json")
	assert.NilError(t, err)
	return string(data)
}

// Guards against a host that does not start with the documented example, or that
// silently ignores its TLS: a field is renamed, or an optional object is refused, while
// the page, the example and the parser are maintained separately.
func TestTheExampleIsReadAndThePageNamesItsFields(t *testing.T) {
	set, faults := settings.Parse([]byte(example(t)))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.Equal(t, set.Peer.TLS.Authorities, "/run/peridotpier/hosts-ca.pem")
	page, err := os.ReadFile("../../docs/settings.md")
	assert.NilError(t, err)
	for _, m := range regexp.MustCompile(`"([a-z_]+)":`).FindAllStringSubmatch(example(t), -1) {
		named := regexp.MustCompile("`([a-z_]+\\.)*" + m[1] + "[`.]")
		assert.Check(t, named.Match(page), "docs/settings.md does not name %s", m[1])
	}
}

func TestFaultsAreNamedByPath(t *testing.T) {
	for _, c := range []struct{ old, new, path string }{
		{`"host": "entry-1"`, `"host": "entry 1"`, "host"},
		{`"caller": {`, `"caler": {`, "caler"},
		{`10.20.1.11:8443`, `entry-1.example:8443`, "caller.address"},
		{`"/run/peridotpier/caller.key"`, `""`, "caller.tls"},
		{`"/run/peridotpier/hosts-ca.pem"`, `""`, "peer.tls.authorities"},
		{`"/run/peridotpier/operators-ca.pem"`, `""`, "operator.tls.authorities"},
		{`"tls": {"certificate"`, `"tls": {"cert"`, "caller.tls.cert"},
		{`"key_hash": "9f`, `"key_hash": "`, "operator.operators[0].key_hash"},
		{`[{"id": "2026-11", "file": "/run/peridotpier/resume-2026-11"}]`, `[]`, "keys.resume"},
		{`"header_bytes": 16384`, `"header_bytes": 16`, "bounds.header_bytes"},
		{`http://10.20.0.2:7001`, `http://table.example`, "platform.table"},
	} {
		text := strings.Replace(example(t), c.old, c.new, 1)
		assert.Assert(t, text != example(t), "nothing replaced: %s", c.old)
		_, faults := settings.Parse([]byte(text))
		assert.Equal(t, len(faults), 1, "%v", faults)
		assert.Equal(t, faults[0].Path, c.path)
	}
}
