package prefill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ms       = time.Millisecond
	overhead = 40 * ms // of permit, request, first event's steps and report
	bound    = 400 * ms
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newService returns a service whose engines report each first event a fixed time after
// the predicted reading.
func newService() *Service {
	s := &Service{EventTokens: 3}
	for range 2 * minSamples {
		s.addFirstEvent(70*ms+overhead, 70*ms)
	}
	for range 1000 {
		s.addAnswer(100, 800*ms)
	}
	s.err = 0
	return s
}

// run makes a stream with a pause bound run at an engine.
func run(p *Pipeline, s *Service, id uint64, answer time.Duration) {
	p.Grant(Prompt{ID: id, Bound: bound, Answer: answer, LateAt: at(time.Hour)}, s, start)
	p.FirstEvent(id, s, start)
}

// Guards against large prompts that follow each other at one engine: the second costs the
// streams there more than the first, and more than both cost apart from each other.
func TestTwoPromptsInOneSpanCostMoreThanApart(t *testing.T) {
	s := newService()
	var p Pipeline
	run(&p, s, 1, time.Hour)
	alone := p.Late(150*ms, s, 0, at(time.Second))
	p.Grant(Prompt{ID: 2, Tokens: 4000, Read: 150 * ms}, s, at(time.Second))
	assert.Assert(t, p.Late(150*ms, s, 0, at(time.Second)) > 3*alone)
	p.FirstEvent(2, s, at(time.Second+150*ms+overhead))
	later := at(2 * time.Second)
	assert.Equal(t, p.Late(150*ms, s, 0, later), alone, "what was read earlier costs nothing")
}

// Guards against a large prompt that avoids an engine whose streams have nothing to lose.
func TestOnlyStreamsThatCanStillBeInTimeCost(t *testing.T) {
	s := newService()
	for name, begin := range map[string]func(p *Pipeline){
		"no stream": func(*Pipeline) {},
		"no bound": func(p *Pipeline) {
			p.Grant(Prompt{ID: 1, Answer: time.Hour}, s, start)
			p.FirstEvent(1, s, start)
		},
		"late": func(p *Pipeline) {
			p.Grant(Prompt{ID: 1, Answer: time.Hour, Bound: bound, LateAt: start}, s, start)
			p.FirstEvent(1, s, at(ms))
		},
		"paused": func(p *Pipeline) {
			run(p, s, 1, time.Hour)
			p.Grant(Prompt{ID: 2, Read: 10 * ms}, s, at(ms))
			p.FirstEvent(2, s, at(ms+overhead+bound+ms))
			p.End(2, 0, s, at(ms+overhead+bound+ms))
		},
		"ended": func(p *Pipeline) {
			run(p, s, 1, time.Hour)
			p.End(1, 100, s, at(ms))
		},
	} {
		var p Pipeline
		begin(&p)
		assert.Equal(t, p.Late(200*ms, s, 0, at(2*time.Second)), 0.0, name)
	}
}

// Guards against a prompt that avoids an engine because of a stream that will have ended
// when the prompt is read, and counts as harmless at one that works slowly.
func TestTheCostFollowsWhatIsLeftAndTheSlowdown(t *testing.T) {
	s := newService()
	var short, long Pipeline
	run(&short, s, 1, 50*ms)
	run(&long, s, 1, time.Hour)
	for _, p := range []*Pipeline{&short, &long} {
		p.Grant(Prompt{ID: 2, Read: 200 * ms}, s, at(ms))
	}
	assert.Assert(t, short.Late(100*ms, s, 0, at(ms)) < 0.5*long.Late(100*ms, s, 0, at(ms)))
	assert.Assert(t, long.Late(100*ms, s, 2, at(ms)) > long.Late(100*ms, s, 1, at(ms)))
}

// Guards against an engine that reads nothing while a report and the next permit are on
// their way, and against a permit that precedes more than those.
func TestAPromptIsGrantedAheadByTheMeasuredWayOnly(t *testing.T) {
	s := newService()
	var p Pipeline
	p.Grant(Prompt{ID: 1, Tokens: 1800, Read: 70 * ms, Bound: bound}, s, start)
	due, ok := p.NextAhead(s, start)
	assert.Assert(t, ok)
	assert.Equal(t, due, at(70*ms))
	assert.Equal(t, p.Ahead(70*ms, s, 0, due.Add(-ms)), Ahead{})
	assert.Equal(t, p.Ahead(70*ms, s, 0, due), Ahead{Tokens: 1800, Advance: s.Overhead()})
	p.Grant(Prompt{ID: 2, Tokens: 1800, Read: 70 * ms}, s, due)
	for d := 80 * ms; d < 400*ms; d += 10 * ms {
		assert.Equal(t, p.Ahead(70*ms, s, 0, at(d)), Ahead{}, "a third one beside two that are not reported, after %s", d)
	}
}

// Guards against advances by predictions that are mostly off, or of which none was made.
func TestAnUncertainPredictionGrantsNothingAhead(t *testing.T) {
	s := newService()
	s.err = (overhead + ms).Seconds()
	for name, service := range map[string]*Service{"off": s, "unknown": {EventTokens: 3}} {
		var p Pipeline
		p.Grant(Prompt{ID: 1, Tokens: 1800, Read: 70 * ms, Bound: bound}, s, start)
		_, ok := p.NextAhead(service, start)
		assert.Assert(t, !ok, name)
		for d := time.Duration(0); d < 130*ms; d += 5 * ms {
			assert.Equal(t, p.Ahead(70*ms, service, 0, at(d)), Ahead{}, name)
		}
	}
}

// Guards against an advance that makes more streams late than it serves requests: the
// prompt would share a span with the one before it.
func TestNothingIsGrantedAheadAtTheCostOfStreams(t *testing.T) {
	s := newService()
	var p Pipeline
	for id := range uint64(40) {
		run(&p, newService(), 100+id, time.Hour) // not s, which it would teach
	}
	p.Grant(Prompt{ID: 1, Tokens: 4000, Read: 160 * ms, Bound: bound}, s, at(time.Second))
	due, ok := p.NextAhead(s, at(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, p.Ahead(160*ms, s, 0, due), Ahead{})
}

// Guards against an engine that gets no prompt any more after the reports of first events
// were lost, or while their host is frozen.
func TestALostReportDoesNotHoldTheEngineForever(t *testing.T) {
	s := newService()
	var p Pipeline
	p.Grant(Prompt{ID: 1, Tokens: 1800, Read: 70 * ms}, s, start)
	p.Grant(Prompt{ID: 2, Tokens: 1000, Read: 40 * ms}, s, start)
	assert.Equal(t, p.Ahead(0, s, 0, at(500*ms)).Tokens, 0)
	assert.Equal(t, p.Ahead(0, s, 0, at(900*ms)).Tokens, 1800)
	assert.Equal(t, p.Ahead(0, s, 0, at(2*time.Second)).Tokens, 2800)
}

// Guards against long streams that begin where many large prompts are read.
func TestALongStreamIsExposedToWhatWasReadLately(t *testing.T) {
	s := newService()
	var busy, quiet Pipeline
	for i := range 6 {
		p := &quiet
		if i > 0 {
			p = &busy
		}
		p.Grant(Prompt{ID: uint64(i), Read: 100 * ms}, s, at(time.Duration(i)*100*ms))
		p.FirstEvent(uint64(i), s, at(time.Duration(i)*100*ms+100*ms+overhead))
	}
	now := at(time.Second)
	assert.Assert(t, busy.Exposure(2*time.Second, bound, now) > 4*quiet.Exposure(2*time.Second, bound, now))
	assert.Assert(t, busy.Exposure(2*time.Second, bound, now) > 5*busy.Exposure(300*ms, bound, now))
	assert.Equal(t, busy.Exposure(2*time.Second, 0, now), 0.0, "no bound")
	assert.Assert(t, busy.Exposure(2*time.Second, bound, now.Add(10*exposureWindow)) < 0.001)
}

// Guards against observations of a frozen host that spoil the measured way.
func TestOneFrozenHostHardlyChangesTheMeasuredWay(t *testing.T) {
	s := newService()
	s.addFirstEvent(5*time.Second, 70*ms)
	assert.Assert(t, s.Overhead() < overhead*11/10, "%s", s.Overhead())
	assert.Assert(t, s.Step() > 8*ms && s.Step() < 9*ms, "%s", s.Step())
}

// BenchmarkLate is the cost of one decision at an engine with all of its slots in use.
func BenchmarkLate(b *testing.B) {
	s := newService()
	var p Pipeline
	for id := range uint64(48) {
		run(&p, s, id, time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Late(70*ms, s, 0, at(time.Second))
	}
}
