package endtoend

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const examples = "../../../examples/"

func TestCheckNamesEveryFault(t *testing.T) {
	command(t, "peridotpier", "check", "--settings", examples+"settings.json", "--configuration", examples+"taipei/config.json").exits(0)
	command(t, "peridotpier", "check", "--configuration", examples+"kathmandu/config.json").exits(0)
	command(t, "peridotpier", "check").exits(2)
	command(t, "peridotpier", "check", "--settings", filepath.Join(t.TempDir(), "absent")).exits(1)

	settings := altered(t, "settings.json", `"host": "entry-1"`, `"host": "entry 1"`, `"drain_s": 60`, `"drain_s": 9999`)
	conf := altered(t, "kathmandu/config.json", `"claim_ttl_s"`, `"claim_ttl_seconds"`)
	var out struct {
		Faults []struct{ Path, Problem string }
	}
	command(t, "peridotpier", "check", "--settings", settings, "--configuration", conf, "--json").exits(1).into(&out)
	var all strings.Builder
	for _, f := range out.Faults {
		all.WriteString(f.Path + " ")
	}
	for _, path := range []string{"host", "bounds.drain_s", "limits.claim_ttl_seconds"} {
		assert.Check(t, strings.Contains(all.String(), ": "+path+" "), "%s is not named: %s", path, all.String())
	}
	refused := command(t, "peridotpier", "serve", "--settings", settings).exits(1)
	assert.Assert(t, strings.Contains(refused.stderr, "peridotpier check"), refused.stderr)
}

func TestVersion(t *testing.T) {
	var v struct{ Version string }
	command(t, "peridotpier", "version", "--json").exits(0).into(&v)
	assert.Assert(t, v.Version != "")
}

// Guards against a host that cuts streams off on SIGTERM, or does not terminate, when the
// signal arrives while streams run through it and callers still send to it. It needs
// separate processes: only they have signals, exit codes, a settings file and the platform
// over HTTP.
func TestHostsAsProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for some 15 s")
	}
	out, err := exec.CommandContext(t.Context(), "../../../scripts/processes.sh").CombinedOutput()
	t.Logf("%s", out)
	assert.NilError(t, err)
}

// altered writes a copy of an example with parts replaced and returns its path; change is
// pairs of an old and a new text.
func altered(t *testing.T, example string, change ...string) string {
	t.Helper()
	data, err := os.ReadFile(examples + example)
	assert.NilError(t, err)
	text := strings.NewReplacer(change...).Replace(string(data))
	path := filepath.Join(t.TempDir(), filepath.Base(example))
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
