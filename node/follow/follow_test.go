package follow_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/follow"
)

// source is a store that can be away, fail some calls after its return, and
// change at any time.
type source struct {
	mu      sync.Mutex
	away    bool
	failing int // next calls that fail though it is back
	version uint64
	configs int // calls for the configuration
	lists   int // calls for the upstreams
}

func (s *source) call(count *int) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	if s.away {
		return 0, errors.New("away")
	}
	if s.failing > 0 {
		s.failing--
		return 0, errors.New("busy")
	}
	return s.version, nil
}

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *source) calls() (configs, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configs, s.lists
}

func (s *source) ReadConfig(context.Context) (*deploy.Config, uint64, error) {
	v, err := s.call(&s.configs)
	if err != nil || v == 0 {
		return nil, 0, err
	}
	return &deploy.Config{Version: v}, v, nil
}

func (s *source) WaitConfig(ctx context.Context, after uint64, wait time.Duration) (*deploy.Config, uint64, error) {
	v, err := s.call(&s.configs)
	if err == nil && v == after {
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, 50*time.Millisecond)):
		}
		return nil, v, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return &deploy.Config{Version: v}, v, nil
}

func (s *source) ReadUpstreams(context.Context, func() error) (follow.UpstreamUpdate, uint64, error) {
	v, err := s.call(&s.lists)
	return follow.UpstreamUpdate{}, v, err
}

func (s *source) WaitUpstreams(ctx context.Context, after uint64, wait time.Duration) (follow.UpstreamUpdate, uint64, error) {
	v, err := s.call(&s.lists)
	if err == nil && v == after {
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, 50*time.Millisecond)):
		}
	}
	return follow.UpstreamUpdate{}, v, err
}

type listener struct{}

func (listener) Replace([]deploy.Upstream, uint64)         {}
func (listener) Apply([]deploy.Upstream, []string, uint64) {}
func (listener) StoreRecovered()                           {}

// following runs a host's two feeds; patient says that others look for the store first.
func following(t *testing.T, s *source, patient bool) *follow.ActiveConfig {
	t.Helper()
	log := event.NewLog(nil)
	config := follow.NewActiveConfig(log)
	f := follow.New(follow.Deps{Source: s, Config: config, Upstreams: listener{}, Log: log, OthersProbeFirst: func() bool { return patient }, OnListed: func() {}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{f.RunConfig, f.RunUpstreams} {
		wg.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return config
}

// configBound is the time in which a change must be in force after the store's
// return, less what its own way takes.
const configBound = 2500 * time.Millisecond

// Symptom: a configuration is not in force 3 s after the store's return.
// Sequence: the store is away for some seconds and a configuration is written
// at its return; all hosts come at once, and this one's first calls are turned away.
// Cause: the next try comes only after a pause for a store that is away.
func TestAFailedFirstTryAfterTheReturnCostsOnePause(t *testing.T) {
	for _, patient := range []bool{false, true} {
		t.Run(map[bool]string{false: "first", true: "patient"}[patient], func(t *testing.T) {
			t.Parallel()
			s := &source{version: 1}
			config := following(t, s, patient)
			inForce(t, config, 1, time.Second)
			s.set(func() { s.away = true })
			time.Sleep(2500 * time.Millisecond)
			s.set(func() { s.away, s.version, s.failing = false, 2, 1 })
			inForce(t, config, 2, configBound)
		})
	}
}

func inForce(t *testing.T, c *follow.ActiveConfig, version uint64, within time.Duration) {
	t.Helper()
	for until := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		if table := c.Current(); table != nil && table.Config.Version == version {
			return
		}
		assert.Assert(t, time.Now().Before(until), "version %d is not in force after %s", version, within)
	}
}

// Symptom: the store is called thousands of times in the seconds after its return.
// Sequence: it comes back; upstreams write their entries anew, dozens a second;
// each ends the waiting calls of all hosts that have no relay yet.
// Cause: the next call follows at once.
func TestChangesInQuickSuccessionAreReadTogether(t *testing.T) {
	t.Parallel()
	s := &source{version: 1}
	config := following(t, s, true)
	inForce(t, config, 1, time.Second)
	_, before := s.calls()
	for range 100 {
		s.set(func() { s.version++ })
		time.Sleep(10 * time.Millisecond)
	}
	_, after := s.calls()
	assert.Assert(t, after-before <= 5, "%d calls in a second", after-before)
}

// Symptom: an outage costs two calls of each host for each pause.
// Sequence: the store is away; both feeds look for it.
// Cause: neither knows what the other found.
func TestOneFeedLooksForAStoreThatIsAway(t *testing.T) {
	t.Parallel()
	s := &source{version: 1}
	config := following(t, s, true)
	inForce(t, config, 1, time.Second)
	s.set(func() { s.away = true })
	time.Sleep(1500 * time.Millisecond) // the first, quick tries of both are over
	configs, lists := s.calls()
	time.Sleep(2500 * time.Millisecond)
	configsNow, listsNow := s.calls()
	assert.Assert(t, configsNow-configs <= 1)
	assert.Assert(t, listsNow-lists >= 2)
	s.set(func() { s.away, s.version = false, 2 })
	inForce(t, config, 2, 2*time.Second)
}

// Guards against a large deployment without orders for as long as its hosts may go by
// a relay, though only the host that relays has lost the store: one that may act next
// asks the store sooner.
func TestAHostThatMayActNextFindsOutSoonerThatTheRelayIsOld(t *testing.T) {
	for _, patient := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			log := event.NewLog(nil)
			s := &source{version: 1}
			config := follow.NewActiveConfig(log)
			f := follow.New(follow.Deps{Source: s, Config: config, Upstreams: listener{}, Log: log, OnListed: func() {},
				OthersProbeFirst: func() bool { return patient }, MaxRelayAge: 3 * time.Second})
			f.ApplyRelay(follow.Relay{Config: &deploy.Config{Version: 1}, UpstreamsVersion: 1})
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.RunUpstreams(ctx) })
			time.Sleep(1500 * time.Millisecond)
			_, lists := s.calls()
			assert.Equal(t, lists > 0, !patient)
			time.Sleep(2 * time.Second)
			_, lists = s.calls()
			assert.Assert(t, lists > 0)
			cancel()
			wg.Wait()
		})
	}
}

// wholeSource counts how often the list is read whole.
type wholeSource struct {
	source
	whole atomic.Int32
}

func (s *wholeSource) ReadUpstreams(ctx context.Context, more func() error) (follow.UpstreamUpdate, uint64, error) {
	s.whole.Add(1)
	return s.source.ReadUpstreams(ctx, more)
}

// Guards against orders by a list that lacks what upstreams hold: a host that was told
// no more than who there is reads the list whole before it acts, and no other does.
func TestAHostThatBeginsToActReadsABriefListWhole(t *testing.T) {
	for _, brief := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			log := event.NewLog(nil)
			s := &wholeSource{source: source{version: 1}}
			config := follow.NewActiveConfig(log)
			var acts atomic.Bool
			f := follow.New(follow.Deps{Source: s, Config: config, Upstreams: listener{}, Log: log, OnListed: func() {}, IsRelaying: acts.Load})
			f.ApplyRelay(follow.Relay{Config: &deploy.Config{Version: 1}, UpstreamsVersion: 1, Complete: true, Compact: brief})
			f.ApplyRelay(follow.Relay{UpstreamsVersion: 1}) // no news
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.RunUpstreams(ctx) })
			time.Sleep(5 * time.Second) // its relay is not fresh any more
			assert.Equal(t, s.whole.Load(), int32(0))
			acts.Store(true)
			time.Sleep(time.Second)
			assert.Equal(t, s.whole.Load() == 1, brief)
			cancel()
			wg.Wait()
		})
	}
}

// partedSource has a list of several parts, or of one.
type partedSource struct {
	source
	parts int
}

func (s *partedSource) ReadUpstreams(ctx context.Context, more func() error) (follow.UpstreamUpdate, uint64, error) {
	for range s.parts - 1 {
		if err := more(); err != nil {
			return follow.UpstreamUpdate{}, 0, err
		}
	}
	return s.source.ReadUpstreams(ctx, more)
}

// Guards against a thousand hosts that start together and each read all from the store;
// and against hosts of a small deployment, or of one without others, that wait.
func TestAHostThatStartsLeavesALargeListToThoseThatTellIt(t *testing.T) {
	for _, c := range []struct {
		name           string
		parts          int
		patient, waits bool
	}{{"small", 1, true, false}, {"large", 8, true, true}, {"large, and it may act next", 8, false, false}} {
		synctest.Test(t, func(t *testing.T) {
			log := event.NewLog(nil)
			s := &partedSource{source{version: 1}, c.parts}
			config := follow.NewActiveConfig(log)
			f := follow.New(follow.Deps{Source: s, Config: config, Upstreams: listener{}, Log: log, OnListed: func() {}, OthersProbeFirst: func() bool { return c.patient }})
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.RunUpstreams(ctx) })
			wg.Go(func() { _ = f.RunConfig(ctx) })
			time.Sleep(50 * time.Millisecond)
			configs, _ := s.calls()
			assert.Equal(t, configs == 0, c.waits, c.name)
			time.Sleep(2 * time.Second)
			assert.Assert(t, config.Current() != nil, "%s: nobody told it", c.name)
			cancel()
			wg.Wait()
		})
	}
}
