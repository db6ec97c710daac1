package local_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

const notes = "/v1/services/stock/notes"

// note sends a call that may not be repeated through the present host.
func (p *path) note(key string) (int, http.Header, string) {
	p.t.Helper()
	return p.do("POST", notes, teamKey, "note "+key, "Idempotency-Key", key)
}

// Symptom: a dispatch note is packed twice after an upstream's restart.
// Sequence: a claim names an attempt and its upstream's process; the host is
// paused before the first byte; the upstream restarts and so forgets what it
// answered about the attempt; the host wakes and sends.
// Cause: the new process takes an attempt that was meant for the former one.
func TestARestartedUpstreamRefusesWhatWasMeantForItsFormerProcess(t *testing.T) {
	p, trap := trappedPath(t)
	trap.set(p.svc.Restart, nil)
	status, _, body := p.note("k1")
	assert.Equal(t, status, http.StatusOK, body)
	ran := p.svc.Executions()
	assert.Equal(t, len(ran), 1)
	assert.Equal(t, ran[0].Meant, ran[0].Incarnation, "the claim names another process than the one that ran it")
}
