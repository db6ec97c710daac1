package quarantine

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotpier.example/core/poison"
	"peridotpier.example/node/event"
	"peridotpier.example/node/metrics"
)

// newDetector returns a running CrashDetector; refuses reports whether nothing listens at
// an address.
func newDetector(t *testing.T, refuses func(address string) bool) (*CrashDetector, *observer.ObservedLogs) {
	core, lines := observer.New(zap.DebugLevel)
	w := NewCrashDetector(CrashDetectorDeps{NotListening: func(_ context.Context, a string) bool { return refuses(a) }, Log: event.NewLog(zap.New(core)),
		Metrics: metrics.New(), OnCrash: func(string, time.Time, []poison.Fingerprint) {}})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return w, lines
}

func fingerprintOf(text string) poison.Fingerprint {
	return (&poison.Content{Target: text}).Fingerprint()
}

func suspect(text string) []poison.Fingerprint { return []poison.Fingerprint{fingerprintOf(text)} }

func TestAnUpstreamThatDoesNotListenHasTerminated(t *testing.T) {
	w, lines := newDetector(t, func(a string) bool { return a == "dead" })
	w.RecordBroken("u", "dead", time.Time{}, suspect("a"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if lines.FilterMessage(event.UpstreamTerminated.Name).Len() == 0 {
			return poll.Continue("no line")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	fields := lines.All()[0].ContextMap()
	assert.Equal(t, fields["peer"], "u")
	assert.DeepEqual(t, fields["under_way"], []any{fingerprintOf("a").Digest.String()})
}

// Guards against suspecting a request because a connection broke on the network or
// a response was lost.
func TestAnUpstreamThatListensHasNotTerminated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checks atomic.Int32
		w, lines := newDetector(t, func(string) bool { checks.Add(1); return false })
		w.RecordBroken("u", "alive", time.Time{}, suspect("a"))
		time.Sleep(recheckAfter)
		synctest.Wait()
		w.mu.Lock()
		checked := w.broken["u"].checked
		w.mu.Unlock()
		assert.Assert(t, checked)
		assert.Equal(t, checks.Load(), int32(2), "a process closes its listener last")
		assert.Equal(t, lines.Len(), 0)
	})
}

// Guards against a crash that is taken for the former one of an upstream which came back under its id.
func TestAnUpstreamThatIsBackMayCrashAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newDetector(t, func(string) bool { return true })
		var at []time.Time
		w.deps.OnCrash = func(_ string, crashedAt time.Time, _ []poison.Fingerprint) { at = append(at, crashedAt) }
		sent := time.Now()
		for range 2 {
			time.Sleep(time.Second)
			w.RecordBroken("u", "dead", sent, suspect("a"))
			synctest.Wait()
		}
		assert.Assert(t, at[0].Equal(at[1]), "both were sent before the crash")
		w.RecordBroken("u", "dead", time.Now(), suspect("b"))
		synctest.Wait()
		assert.Equal(t, at[2].Sub(at[0]), time.Second, "this one was sent after it")
	})
}

// Guards against crashes that nobody can explain later: requests whose exchanges broke are
// left out because too many are pending, and nothing tells.
func TestSuspectsThatAreLeftOutAreCounted(t *testing.T) {
	set := metrics.New()
	d := NewCrashDetector(CrashDetectorDeps{Metrics: set}) // its checks do not run
	for i := range maxPendingChecks {
		d.RecordBroken(strconv.Itoa(i), "a", time.Time{}, suspect("a"))
	}
	for range maxSuspects - 1 {
		d.RecordBroken("0", "a", time.Time{}, suspect("a"))
	}
	assert.Equal(t, set.CountsByKind(metrics.SuspectsDropped)[droppedForChecks], int64(0))
	assert.Equal(t, set.CountsByKind(metrics.SuspectsDropped)[droppedForSuspects], int64(0))
	d.RecordBroken("one more", "a", time.Time{}, suspect("a"))
	d.RecordBroken("0", "a", time.Time{}, suspect("a"))
	assert.Equal(t, set.CountsByKind(metrics.SuspectsDropped)[droppedForChecks], int64(1))
	assert.Equal(t, set.CountsByKind(metrics.SuspectsDropped)[droppedForSuspects], int64(1))
}

// Guards against a crash report that names a part once for each request which has it.
func TestAPartOfSeveralRequestsIsSuspectedOnce(t *testing.T) {
	part := poison.PartFingerprint("first", 0)
	e := &brokenUpstream{}
	assert.DeepEqual(t, e.add(append(suspect("a"), part)), append(suspect("a"), part))
	assert.DeepEqual(t, e.add(append(suspect("b"), part)), suspect("b"))
	assert.Equal(t, e.requests, 2)
}
