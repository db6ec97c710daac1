package gate

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
)

// Symptom: a large answer ends in the middle though its upstream is sound.
// Sequence: more than is taken in whole has gone to the caller; the upstream says
// nothing for a while; another upstream could take the request.
// Cause: the attempt is ended for another one, whose answer cannot follow what the
// caller has.
func TestALargeResponseIsNotCutForAnUnresponsiveUpstream(t *testing.T) {
	begin, rest := strings.Repeat("a", maxBufferedBytes+10), strings.Repeat("b", 10)
	slow := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, begin)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(4 * silence)
		_, _ = io.WriteString(w, rest)
	}
	host, _ := newSilenceGate(t, deploy.Idempotent, slow, slow)
	_, body, err := sendOne(t, host)
	assert.NilError(t, err)
	assert.Assert(t, body == begin+rest, "%d bytes", len(body))
}

// Symptom: a caller gets two answers in one, which looks whole.
// Sequence: a large answer breaks off after its beginning went to the caller; the
// route's requests may be repeated; another upstream answers whole.
// Cause: nothing asks whether the caller has the beginning of an answer already.
func TestALargeResponseThatBreaksOffIsNotFollowedByAnother(t *testing.T) {
	begin := strings.Repeat("a", maxBufferedBytes+10)
	broken := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, begin)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	host, _ := newSilenceGate(t, deploy.Idempotent, broken, broken)
	_, body, err := sendOne(t, host)
	assert.Assert(t, err != nil, "an answer that ends early looks whole")
	assert.Assert(t, len(body) <= len(begin), "%d bytes", len(body))
}

// Symptom: as above, of an answer and its repeat.
func TestALargeResponseIsNotFollowedByACompleteOne(t *testing.T) {
	begin := strings.Repeat("a", maxBufferedBytes+10)
	runs := atomic.Int64{}
	once := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, begin)
		_ = http.NewResponseController(w).Flush()
		if runs.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	}
	host, _ := newSilenceGate(t, deploy.Idempotent, once, once)
	_, body, err := sendOne(t, host)
	// The first may also break before its beginning went on; the second is then the answer.
	assert.Assert(t, err != nil || body == begin, "%d bytes of two answers look whole", len(body))
}
