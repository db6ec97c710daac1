// Package prefill keeps what is known of the prompts and streams of one model engine. It
// predicts when the engine will have read the prompts that it was given, and how many of
// the streams that run there one more prompt would make late.
//
// An engine reads waiting prompts between any two steps of its streams, and an event of a
// stream spans several steps. What is read within one span is the pause before the event.
// The package answers two loads: streams that pause beyond their bounds, since large
// prompts follow each other at one engine while others have few streams; and an engine
// that reads nothing between a prompt and the next, while the report of the first event
// and the next permit are on their way.
//
// The package does no I/O and has no clock. Times are those at which the caller granted
// permits: a prompt's reading is predicted as if it arrived when it was granted, and the
// time on the way, which is the same for each, is part of Service.Overhead.
package prefill

import "time"

// Prompt is a request as far as its engine's time depends on it.
type Prompt struct {
	ID     uint64
	Tokens int           // that need prefill
	Read   time.Duration // predicted time of their prefill
	Answer time.Duration // predicted time of the answer after its first event; 0: unknown
	Bound  time.Duration // longest pause between events of a timely answer; 0: none
	// LateAt is when an answer that has not begun is late whatever happens after; a
	// later stream has no pause to lose. Zero: it is never late.
	LateAt time.Time
}

// Pipeline is the state of one engine. The zero value is an idle engine.
type Pipeline struct {
	prompts  []granted // whose first event is still to come, in the order of their grants
	recent   []reading // ended readings, oldest first; those within one span count
	streams  []stream  // that have begun and not ended
	freeAt   time.Time // when the last reading known to have ended did
	exposure exposure
	read     time.Duration // total time of the readings that ended
}

type granted struct {
	Prompt
	at    time.Time
	alone bool // no other prompt was waiting during its reading
}

type reading struct {
	took time.Duration
	end  time.Time
}

type stream struct {
	id       uint64
	bound    time.Duration // 0: no pause makes it late
	began    time.Time
	expected time.Time     // when it is expected to end
	read     time.Duration // Pipeline.read when it began
}

// maxRecent bounds the readings that are kept. A span has few steps, so that it contains
// few readings that ended.
const maxRecent = 8

// Grant records a prompt that was granted at now at an engine of a service.
func (p *Pipeline) Grant(prompt Prompt, s *Service, now time.Time) {
	for i := range p.prompts {
		p.prompts[i].alone = false
	}
	span := s.Span(0)
	p.exposure.add(span+p.readWithin(span, now)+prompt.Read, now)
	p.prompts = append(p.prompts, granted{prompt, now, len(p.prompts) == 0})
}

// FirstEvent records that the first event of a prompt's answer was reported at now. ok is
// false if the prompt is not known.
func (p *Pipeline) FirstEvent(id uint64, s *Service, now time.Time) (ok bool) {
	i := p.indexOfPrompt(id)
	if i < 0 {
		return false
	}
	g := p.prompts[i]
	p.prompts = append(p.prompts[:i], p.prompts[i+1:]...)
	p.recordReading(&g, s.Overhead(), now)
	if g.alone {
		s.addFirstEvent(now.Sub(g.at), g.Read)
	}
	bound := g.Bound
	if !g.LateAt.IsZero() && now.After(g.LateAt) {
		bound = 0
	}
	p.streams = append(p.streams, stream{id: id, bound: bound, began: now, expected: now.Add(g.Answer), read: p.read})
	return true
}

// recordReading records that a prompt was read, whose first event was reported at now. A
// prompt that was read beside others took what was predicted.
func (p *Pipeline) recordReading(g *granted, overhead time.Duration, now time.Time) {
	end, took := now.Add(-overhead), g.Read
	if end.Before(g.at) {
		end = g.at
	}
	if g.alone {
		took = end.Sub(g.at)
	}
	if end.After(p.freeAt) {
		p.freeAt = end
	}
	if len(p.recent) == maxRecent {
		p.recent = append(p.recent[:0], p.recent[1:]...)
	}
	p.recent = append(p.recent, reading{took, end})
	p.read += took
	p.markPaused(g.at, took)
}

// markPaused records that a reading that began at began made streams pause beyond their
// bounds. They are late already, so that later pauses cost them nothing.
func (p *Pipeline) markPaused(began time.Time, took time.Duration) {
	for i := range p.streams {
		if s := &p.streams[i]; s.bound > 0 && took > s.bound && s.began.Before(began) {
			s.bound = 0
		}
	}
}

// End records the end of a request, whether it has begun or not. tokens is the expected
// length of its answer.
func (p *Pipeline) End(id uint64, tokens int, s *Service, now time.Time) {
	if i := p.indexOfPrompt(id); i >= 0 {
		p.prompts = append(p.prompts[:i], p.prompts[i+1:]...)
		return
	}
	for i := range p.streams {
		if st := &p.streams[i]; st.id == id {
			s.addAnswer(tokens, now.Sub(st.began)-(p.read-st.read))
			p.streams = append(p.streams[:i], p.streams[i+1:]...)
			return
		}
	}
}

func (p *Pipeline) indexOfPrompt(id uint64) int {
	for i := range p.prompts {
		if p.prompts[i].ID == id {
			return i
		}
	}
	return -1
}

// FreeAt predicts when the engine will have read the prompts that it was given.
func (p *Pipeline) FreeAt() time.Time {
	at := p.freeAt
	for i := range p.prompts {
		at = p.prompts[i].end(at)
	}
	return at
}

// end predicts when a prompt is read that waits for the readings that end at before.
func (g *granted) end(before time.Time) time.Time {
	if before.Before(g.at) {
		before = g.at
	}
	return before.Add(g.Read)
}

// NumPrompts returns how many prompts have no first event yet.
func (p *Pipeline) NumPrompts() int { return len(p.prompts) }

// NumStreams returns how many streams run.
func (p *Pipeline) NumStreams() int { return len(p.streams) }
