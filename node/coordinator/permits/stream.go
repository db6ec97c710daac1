package permits

import (
	"context"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
)

// QueueLen is how many answers may wait to be sent to one host. A host that reads
// so slowly decides by itself anyway.
const QueueLen = 512

// Stream is one host's stream of permit requests.
type Stream struct {
	out    chan *coordpb.TurnAnswer
	cancel context.CancelFunc
}

// NewStream returns a stream that cancel ends.
func NewStream(cancel context.CancelFunc) *Stream {
	return &Stream{out: make(chan *coordpb.TurnAnswer, QueueLen), cancel: cancel}
}

// Answers returns the answers that are to be sent to the host.
func (s *Stream) Answers() <-chan *coordpb.TurnAnswer { return s.out }

// send queues an answer. A host that does not read its answers loses its stream.
func (s *Stream) send(a *coordpb.TurnAnswer) {
	select {
	case s.out <- a:
	default:
		s.cancel()
	}
}

// NeedsActingHost reports whether an event is a request that only the acting
// coordinator answers.
func NeedsActingHost(e *coordpb.TurnEvent) bool {
	return e.Kind == coordpb.TurnEvent_ASK || e.Kind == coordpb.TurnEvent_CHARGE
}

// announceRate is how many hosts are asked to report per second after an announcement.
// The reports of all hosts at the same time would keep the coordinator from granting
// permits until all are answered.
const announceRate = 5000

// Announce notifies all hosts that have a stream.
func (p *Permits) Announce() {
	p.mu.Lock()
	streams := make([]*Stream, 0, len(p.streams))
	for s := range p.streams {
		streams = append(streams, s)
	}
	p.mu.Unlock()
	within := time.Second * time.Duration(len(streams)) / announceRate
	for _, s := range streams {
		s.send(&coordpb.TurnAnswer{Kind: coordpb.TurnAnswer_NEWS, WaitMs: uint32(within.Milliseconds())})
	}
}

// AddStream registers a stream until RemoveStream.
func (p *Permits) AddStream(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[s] = struct{}{}
}
