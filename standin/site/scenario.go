package site

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// StoreFaults makes the platform's table service and object store fail.
type StoreFaults interface {
	// StartOutage makes both unavailable for the given time.
	StartOutage(d time.Duration)
	// LoseAnswers makes a share of the writes take effect although their outcome is
	// returned as unknown.
	LoseAnswers(share float64)
}

// Targets are the parts of a site that a scenario acts on. Hosts and Store may be nil;
// steps that need them then do nothing.
type Targets struct {
	Upstreams *Upstreams
	Hosts     HostController
	Store     StoreFaults
}

// step is one fault; atShare is its time as a share of the run's length.
type step struct {
	atShare     float64
	description string
	run         func(ctx context.Context, t Targets, length time.Duration) error
}

// Scenario is a named sequence of faults.
type Scenario struct {
	Name  string
	steps []step
}

// Fault records one step that was carried out.
type Fault struct {
	At          time.Duration
	Description string
	Err         error
}

// AllScenarios is the name of the combination of faults that a site must withstand
// at once.
const AllScenarios = "all"

// combinedScenarios are the scenarios that AllScenarios combines.
var combinedScenarios = []string{"kill", "store", "answers", "silent", "crossed"}

// Scenarios returns the names that FindScenario accepts.
func Scenarios() []string { return append(slices.Sorted(maps.Keys(scenarios())), AllScenarios) }

// FindScenario returns the scenario of a name; for several names joined by "+" it
// returns their steps combined. An unknown name is an error.
func FindScenario(name string) (Scenario, error) {
	out := Scenario{Name: name}
	known := scenarios()
	if name == AllScenarios {
		name = strings.Join(combinedScenarios, "+")
	}
	for _, part := range strings.Split(name, "+") {
		steps, ok := known[part]
		if !ok {
			return out, fmt.Errorf("faults %q: known are %s", part, strings.Join(Scenarios(), ", "))
		}
		out.steps = append(out.steps, steps...)
	}
	slices.SortStableFunc(out.steps, func(a, b step) int { return int((a.atShare - b.atShare) * 1e6) })
	return out, nil
}

// Run carries out the steps at their times in a run of the given length, until ctx
// ends, and returns the steps that it carried out.
func (s Scenario) Run(ctx context.Context, t Targets, length time.Duration) []Fault {
	startedAt := time.Now()
	var done []Fault
	for _, st := range s.steps {
		timer := time.NewTimer(time.Until(startedAt.Add(time.Duration(st.atShare * float64(length)))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return done
		}
		done = append(done, Fault{At: time.Since(startedAt), Description: st.description, Err: st.run(ctx, t, length)})
	}
	return done
}

// maxOrderDelay is the delay of a delayed or duplicated order at sites whose bound allows it: longer
// than a planner waits for an answer.
const maxOrderDelay = 8 * time.Second

// orderDelay returns the delay of a delayed or duplicated order.
func (t Targets) orderDelay() time.Duration {
	return min(maxOrderDelay, t.Upstreams.Site.Engines.latestOrder())
}

func scenarios() map[string][]step {
	return map[string][]step{
		"none": nil,
		"orders": {
			{0.05, "the next order to each engine is lost", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].DropOrders(1) })},
			{0.25, "the next order to each engine is delayed", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].DelayOrders(1, t.orderDelay()) })},
			{0.50, "the next order to each engine is duplicated", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].DuplicateOrders(1, t.orderDelay()) })},
			{0.70, "the answer to the next order to each engine is lost", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].LoseOrderAnswers(1) })},
		},
		"restart": {
			{0.30, "engine 0 restarts with empty memory", forEngine(0, func(i int, t Targets) { t.Upstreams.Engines[i].Restart() })},
			{0.60, "engine 1 restarts with empty memory", forEngine(1, func(i int, t Targets) { t.Upstreams.Engines[i].Restart() })},
		},
		"leave": {
			{0.40, "engine 0 drains", forEngine(0, func(i int, t Targets) { t.Upstreams.Engines[i].Drain() })},
			{0.70, "service 0 drains", func(_ context.Context, t Targets, _ time.Duration) error {
				t.Upstreams.Services[0].Drain()
				return nil
			}},
		},
		"silent": {
			{0.30, "open connections to engines 0 to 2 become unresponsive", forEngine(2, func(i int, t Targets) { freezeEnginesUpTo(i, t) })},
			{0.60, "open connections to all engines and services become unresponsive", freezeAll},
		},
		"crossed": {
			{0.20, "one answer in fifty is mismatched", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].MismatchAnswers(0.02) })},
			{0.80, "answers are no longer mismatched", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].MismatchAnswers(0) })},
		},
		"cut": {
			{0.20, "streams break after 20 events", forEachEngine(func(i int, t Targets) { t.Upstreams.Engines[i].CutStreamsAfter(20) })},
			{0.50, "streams no longer break; 20 answers of each service are lost", healStreamsLoseAnswers},
		},
		"store":   {{0.30, "the store is down for 20 s", failStore}},
		"answers": {{0, "one answer in twenty of the store is lost", loseStoreAnswers}},
		"kill": {
			{0.25, "entry host 0 is killed", killHost(0)},
			{0.45, "another takes the place of entry host 0", replaceHost(0)},
			{0.60, "entry hosts 1 and 2 are killed", inSequence(killHost(1), killHost(2))},
			{0.80, "others take their places", inSequence(replaceHost(1), replaceHost(2))},
		},
		"hosts": {
			{0.35, "entry host 0 is killed", killHost(0)},
			{0.65, "entry host 1 is stopped gracefully", stopHost},
		},
	}
}

func forEachEngine(do func(i int, t Targets)) func(context.Context, Targets, time.Duration) error {
	return func(_ context.Context, t Targets, _ time.Duration) error {
		for i := range t.Upstreams.Engines {
			do(i, t)
		}
		return nil
	}
}

func forEngine(i int, do func(i int, t Targets)) func(context.Context, Targets, time.Duration) error {
	return func(_ context.Context, t Targets, _ time.Duration) error {
		if i >= len(t.Upstreams.Engines) {
			return fmt.Errorf("the site has no engine %d", i)
		}
		do(i, t)
		return nil
	}
}

func freezeEnginesUpTo(last int, t Targets) {
	for _, e := range t.Upstreams.Engines[:last+1] {
		e.Freeze(false)
	}
}

func freezeAll(_ context.Context, t Targets, _ time.Duration) error {
	freezeEnginesUpTo(len(t.Upstreams.Engines)-1, t)
	for _, s := range t.Upstreams.Services {
		s.Freeze(false)
	}
	return nil
}

func healStreamsLoseAnswers(_ context.Context, t Targets, _ time.Duration) error {
	for _, e := range t.Upstreams.Engines {
		e.CutStreamsAfter(0)
	}
	for _, s := range t.Upstreams.Services {
		s.LoseAnswers(20)
	}
	return nil
}

// storeOutageDuration is the duration of a store outage; in a short run the outage
// takes a third of the run.
const storeOutageDuration = 20 * time.Second

func failStore(_ context.Context, t Targets, length time.Duration) error {
	if t.Store != nil {
		t.Store.StartOutage(min(storeOutageDuration, length/3))
	}
	return nil
}

// lostAnswerShare is the share of the store's answers that get lost.
const lostAnswerShare = 0.05

func loseStoreAnswers(_ context.Context, t Targets, _ time.Duration) error {
	if t.Store != nil {
		t.Store.LoseAnswers(lostAnswerShare)
	}
	return nil
}

type stepFunc = func(ctx context.Context, t Targets, length time.Duration) error

func killHost(host int) stepFunc {
	return func(_ context.Context, t Targets, _ time.Duration) error {
		if t.Hosts == nil {
			return nil
		}
		return t.Hosts.Kill(host)
	}
}

func replaceHost(host int) stepFunc {
	return func(ctx context.Context, t Targets, _ time.Duration) error {
		if t.Hosts == nil {
			return nil
		}
		return t.Hosts.Replace(ctx, host)
	}
}

func inSequence(a, b stepFunc) stepFunc {
	return func(ctx context.Context, t Targets, length time.Duration) error {
		return errors.Join(a(ctx, t, length), b(ctx, t, length))
	}
}

func stopHost(ctx context.Context, t Targets, _ time.Duration) error {
	if t.Hosts == nil {
		return nil
	}
	return t.Hosts.Stop(ctx, 1)
}
