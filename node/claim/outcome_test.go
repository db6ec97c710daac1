package claim_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/claim"
	"peridotpier.example/core/fault"
	"peridotpier.example/core/outcome"
	nodeclaim "peridotpier.example/node/claim"
	"peridotpier.example/node/event"
	"peridotpier.example/node/store"
	standin "peridotpier.example/standin/platform"
)

// memoryObjects is an object store whose content tests can read.
type memoryObjects struct {
	store.Objects
	data map[string][]byte
}

func (b *memoryObjects) Put(_ context.Context, name string, data []byte) error {
	b.data[name] = data
	return nil
}

func (b *memoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	if d, ok := b.data[name]; ok {
		return d, nil
	}
	return nil, store.ErrUnavailable
}

func smallStore(tb store.Table, objects store.Objects) *nodeclaim.Store {
	cfg := nodeclaim.DefaultConfig()
	cfg.MaxInlineBytes, cfg.MaxAnswerBytes, cfg.MaxQueued, cfg.MaxQueuedBytes = 10, 100, 2, 150
	return nodeclaim.New(cfg, nodeclaim.Deps{Records: nodeclaim.NewRows(tb), Objects: objects,
		Log: event.NewLog(nil), Now: time.Now, Owner: claim.Owner{Host: "h"}})
}

func claimKey(s *nodeclaim.Store, key string) (*nodeclaim.Grant, *nodeclaim.Answer, error) {
	return s.Claim(context.Background(), nodeclaim.Request{Team: "north", Key: key, BodyHash: "b",
		Deadline: time.Now().Add(time.Second), Route: claim.Route{Upstream: "e", Attempt: key}})
}

func TestAnswersAreStoredBySize(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		blobs int
		kept  bool
	}{{"in the row", 10, 0, true}, {"in the object store", 11, 1, true}, {"not kept", 101, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			objects := &memoryObjects{data: map[string][]byte{}}
			s := smallStore(standin.NewTable(), objects)
			g, _, err := claimKey(s, "k")
			assert.NilError(t, err)
			body := bytes.Repeat([]byte("x"), c.bytes)
			assert.NilError(t, g.Complete(context.Background(), nodeclaim.Answer{Status: 201, Body: body}))
			assert.Equal(t, len(objects.data), c.blobs)
			_, a, err := claimKey(s, "k")
			if !c.kept {
				assert.Equal(t, fault.From(fault.StepClaim, err).Outcome, outcome.Completed)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 201)
			assert.DeepEqual(t, a.Body, body)
		})
	}
}

// Guards against a host whose memory grows through a table outage until it is killed,
// with all the outcomes that it has queued. The queue is bounded by count and by
// bytes; an outcome that finds no room is reported, and its key is not released.
func TestOutcomeQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &faulty{Table: standin.NewTable()}
		s := smallStore(tb, nil)
		var grants []*nodeclaim.Grant
		for _, k := range []string{"a", "b", "c", "d"} {
			g, _, err := claimKey(s, k)
			assert.NilError(t, err)
			grants = append(grants, g)
		}
		tb.set(func(f *faults) { f.down = true })
		big := nodeclaim.Answer{Status: 200, Body: make([]byte, 90)}
		assert.NilError(t, grants[0].Complete(context.Background(), big))
		assert.ErrorIs(t, grants[1].Complete(context.Background(), big), nodeclaim.ErrQueueFull)
		assert.NilError(t, grants[2].Release(context.Background()))
		assert.ErrorIs(t, grants[3].Release(context.Background()), nodeclaim.ErrQueueFull)
		tb.set(func(f *faults) { f.down = false })
		assert.NilError(t, s.Drain(context.Background()))
		count, size := s.Pending()
		assert.Equal(t, count+size, 0)
		_, _, err := claimKey(s, "b")
		assert.Equal(t, code(err), fault.CodeInProgress, "not released, and not run again")
	})
}

// Guards against callers that wait for seconds for a refusal while the table is down.
// The answers of some commits are lost as the outage begins, other claims follow, and
// unconfirmed commits must not take all slots.
func TestUnconfirmedCommitsDoNotDelayRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &faulty{Table: standin.NewTable()}
		batch := nodeclaim.NewBatcher(nodeclaim.DefaultBatchConfig(), tb)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); _ = batch.Run(ctx) }()
		s := smallStore(batch, nil)
		tb.set(func(f *faults) { f.dropCommits = 1 << 10 })
		for range 8 {
			go func() { _, _, _ = claimKey(s, rand.Text()) }()
			time.Sleep(100 * time.Millisecond) // so that each gets a commit of its own
		}
		tb.set(func(f *faults) { f.dropCommits, f.down = 0, true })
		start := time.Now()
		_, _, err := claimKey(s, "after")
		assert.Equal(t, code(err), fault.CodeStoreUnavailable)
		assert.Assert(t, time.Since(start) < 200*time.Millisecond, "refused after %s", time.Since(start)) // by synctest's clock
		cancel()
		<-stopped
	})
}
