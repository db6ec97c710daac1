package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/config"
	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
)

// call serves one request of the protocol without a network, so that tests can run
// on the clock of synctest. A broken connection is returned as status 0.
func call(e *engine.Engine, method, path string, in, out any) (status int) {
	body, _ := json.Marshal(in)
	w := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			status = 0
		}
	}()
	e.Handler().ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	if out != nil {
		_ = json.NewDecoder(w.Body).Decode(out)
	}
	return w.Code
}

func order(e *engine.Engine, o engineapi.Order) (ans engineapi.OrderAnswer, status int) {
	status = call(e, "POST", engineapi.PathOrders, o, &ans)
	return ans, status
}

func load(op string, epoch uint64, model string, mb int) engineapi.Order {
	return engineapi.Order{Op: op, Epoch: epoch, Kind: engineapi.OrderLoad, Model: model, Version: "v1", MemoryMB: mb}
}

func unload(op string, epoch uint64, model string) engineapi.Order {
	return engineapi.Order{Op: op, Epoch: epoch, Kind: engineapi.OrderUnload, Model: model}
}

func newEngine(t *testing.T, cfg engine.Config) *engine.Engine {
	t.Helper()
	cfg.Name = "e1"
	e, err := engine.New(cfg)
	assert.NilError(t, err)
	return e
}

// A planner that was paused past the end of its lease sends an order under its old
// epoch. An engine that checks epochs refuses the order; an engine that does not
// check executes it, and only the system itself can prevent the damage.
func TestOldEpochIsRefusedOnlyWhereChecked(t *testing.T) {
	for _, c := range []struct {
		fencing config.Fencing
		reason  string
	}{{config.FencingChecked, "old_epoch"}, {config.FencingIgnored, ""}} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine(t, engine.Config{Fencing: c.fencing})
			defer e.Close()
			_, _ = order(e, load("o1", 5, "a", 1))
			ans, _ := order(e, load("o2", 4, "b", 1))
			assert.Equal(t, ans.Reason, c.reason)
		})
	}
}

// A load order is delayed in the network and treated as lost; its model is placed
// elsewhere and other weights take the memory. Then the order arrives and
// overcommits the engine: the engine must record this.
func TestLateOrderOvercommitsAndIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{MemoryMB: 100})
		defer e.Close()
		e.DelayOrders(1, 20*time.Second)
		_, status := order(e, load("late", 1, "a", 60))
		assert.Equal(t, status, 0)
		_, status = order(e, load("next", 1, "b", 60))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(e.Records().Overcommits), 0)
		time.Sleep(21 * time.Second)
		over := e.Records().Overcommits
		assert.Equal(t, len(over), 1)
		assert.Equal(t, over[0].Op, "late")
		assert.Equal(t, over[0].UsedMB, 120)
	})
}

// A load order is duplicated in the network and the second copy arrives after the
// unload that followed it: the model is loaded again although it is not wanted.
func TestDuplicateLoadsAgainAfterUnload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{MemoryMB: 100})
		defer e.Close()
		e.DuplicateOrders(1, time.Minute)
		_, _ = order(e, load("o1", 1, "a", 60))
		time.Sleep(time.Second)
		_, _ = order(e, unload("o2", 1, "a"))
		assert.Equal(t, e.ActualState().UsedMB, 0)
		time.Sleep(time.Minute)
		assert.Equal(t, e.ActualState().UsedMB, 60)
		assert.Equal(t, e.Records().Loads, 2)
	})
}

// grants admits one load at a time, as the weight store does.
type grants struct{ open string }

func (g *grants) AcquireLoad(_ context.Context, load string) (time.Duration, error) {
	if g.open != "" && g.open != load {
		return time.Second, nil
	}
	g.open = load
	return 0, nil
}

func (g *grants) ReleaseLoad(context.Context, string) error { g.open = ""; return nil }

func TestLoadTakesItsTimeAfterAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{MemoryMB: 100, MBPerSecond: 10, Weights: &grants{open: "other"}})
		defer e.Close()
		_, _ = order(e, load("o1", 1, "a", 50))
		time.Sleep(time.Minute)
		assert.Equal(t, e.ActualState().Residents[0].State, engineapi.StateLoading)
		assert.Equal(t, e.ActualState().UsedMB, 50)
	})
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{MemoryMB: 100, MBPerSecond: 10, Weights: &grants{}})
		defer e.Close()
		_, _ = order(e, load("o1", 1, "a", 50))
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, e.ActualState().Residents[0].State, engineapi.StateLoading)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, e.ActualState().Residents[0].State, engineapi.StateReady)
	})
}

// A report must never be treated as the current state: it is as old as the
// configured lag, however often it is read.
func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{MemoryMB: 100, ReportInterval: time.Second, ReportLag: 5 * time.Second})
		defer e.Close()
		time.Sleep(10*time.Second + time.Millisecond)
		_, _ = order(e, load("o1", 1, "a", 50))
		time.Sleep(4 * time.Second)
		var r engineapi.Report
		call(e, "GET", engineapi.PathReport, nil, &r)
		assert.Equal(t, r.UsedMB, 0)
		time.Sleep(3 * time.Second)
		call(e, "GET", engineapi.PathReport, nil, &r)
		assert.Equal(t, r.UsedMB, 50)
		before := r.Incarnation
		e.Restart()
		call(e, "GET", engineapi.PathReport, nil, &r)
		assert.Assert(t, r.Incarnation != before)
		assert.Equal(t, r.UsedMB, 0)
	})
}

// The batch is full, and a bulk and an urgent request wait: the urgent one must
// run first although it came later.
func TestUrgentRunsBeforeBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{MaxBatch: 1, TokenTime: 10 * time.Millisecond})
		defer e.Close()
		e.Preload("m", "", "v1", 1)
		generate := func(id, priority string) {
			body, _ := json.Marshal(map[string]any{"model": "m", "max_tokens": 10, "prompt": id})
			r := httptest.NewRequest("POST", engineapi.PathCompletions, bytes.NewReader(body))
			r.Header.Set(engineapi.HeaderAttempt, id)
			r.Header.Set(engineapi.HeaderPriority, priority)
			e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		}
		for _, a := range [][2]string{{"first", "1"}, {"bulk", "0"}, {"urgent", "2"}} {
			go generate(a[0], a[1])
			synctest.Wait()
		}
		time.Sleep(time.Second)
		var order []string
		for _, x := range e.Records().Executions {
			order = append(order, x.Attempt)
		}
		assert.DeepEqual(t, order, []string{"first", "urgent", "bulk"})
	})
}

// The host of a caller terminates in the middle of a stream. The attempt continues
// for the resume window, so that another host can resume it, and is then
// cancelled, so that an answer without a reader does not occupy the batch for
// ever.
func TestStreamWithoutReaderIsCancelledInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{TokenTime: 10 * time.Millisecond, ResumeWindow: 2 * time.Second})
		defer e.Close()
		e.Preload("m", "", "v1", 1)
		ctx, cancel := context.WithCancel(t.Context())
		body := []byte(`{"model":"m","max_tokens":1000,"stream":true,"prompt":"x"}`)
		r := httptest.NewRequestWithContext(ctx, "POST", engineapi.PathCompletions, bytes.NewReader(body))
		r.Header.Set(engineapi.HeaderAttempt, "a1")
		go e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(time.Second)
		cancel()
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, e.ActualState().Running, 1)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, e.ActualState().Running, 0)
		var a engineapi.Attempt
		call(e, "GET", "/engine/v1/attempts/a1", nil, &a)
		assert.Equal(t, a.State, engineapi.AttemptCancelled)
	})
}

// A model is unloaded while a request on its adapter runs. If its memory were
// reported free at once, another load would be admitted and the accelerator would
// be overcommitted.
func TestUnloadWaitsForRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{TokenTime: 10 * time.Millisecond})
		defer e.Close()
		e.Preload("m", "", "v1", 50)
		e.Preload("m", "a", "v1", 5)
		body := []byte(`{"model":"a","max_tokens":100,"prompt":"x"}`)
		go e.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", engineapi.PathCompletions, bytes.NewReader(body)))
		time.Sleep(100 * time.Millisecond)
		o := unload("o1", 1, "m")
		o.Version = "v1"
		_, _ = order(e, o)
		assert.Equal(t, e.ActualState().UsedMB, 55)
		time.Sleep(time.Second)
		assert.Equal(t, e.ActualState().UsedMB, 0)
		assert.Equal(t, e.Records().Executions[0].State, engineapi.AttemptCompleted)
	})
}

// Cache events come late and some never: a reader sees gaps in their sequence and
// must treat them as hints. A cached prefix shortens the time for the prompt.
func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{PrefillPerToken: time.Millisecond, PrefixSlots: 2, PrefixSavedShare: 0.9,
			EventLag: time.Second, EventLoss: 0.5, Seed: 1})
		defer e.Close()
		e.Preload("m", "", "v1", 1)
		prompt := strings.Repeat("word", 200)
		generate := func(prefix int) time.Duration {
			body, _ := json.Marshal(map[string]any{"model": "m", "max_tokens": 1, "prompt": prompt})
			r := httptest.NewRequest("POST", engineapi.PathCompletions, bytes.NewReader(body))
			r.Header.Set(engineapi.HeaderPrefix, strconv.FormatInt(int64(prefix), 16))
			began := time.Now()
			e.Handler().ServeHTTP(httptest.NewRecorder(), r)
			return time.Since(began)
		}
		cold := generate(1)
		assert.Assert(t, generate(1) < cold/5)
		for prefix := 2; prefix < 20; prefix++ {
			generate(prefix)
		}
		assert.Equal(t, generate(1), cold) // evicted in the meantime
		time.Sleep(2 * time.Second)
		var events []engineapi.CacheEvent
		call(e, "GET", engineapi.PathEvents+"?after=0", nil, &events)
		gaps := 0
		for i := 1; i < len(events); i++ {
			assert.Assert(t, events[i].Sequence > events[i-1].Sequence)
			if events[i].Sequence > events[i-1].Sequence+1 {
				gaps++
			}
		}
		assert.Assert(t, len(events) > 5 && gaps > 0)
		generate(50)
		var fresh []engineapi.CacheEvent
		call(e, "GET", engineapi.PathEvents+"?after="+strconv.FormatUint(events[len(events)-1].Sequence, 10), nil, &fresh)
		assert.Equal(t, len(fresh), 0)
	})
}
