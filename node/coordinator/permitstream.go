package coordinator

import (
	"context"
	"errors"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/metrics"
)

// permitQueueLen is how many answers may wait to be sent to one host. A host that
// is that slow decides by itself anyway.
const permitQueueLen = 512

// permitStream is one host's stream of questions.
type permitStream struct {
	out    chan *coordpb.TurnAnswer
	cancel context.CancelFunc
}

// send queues an answer; a host that does not read loses its stream.
func (s *permitStream) send(a *coordpb.TurnAnswer) {
	select {
	case s.out <- a:
	default:
		s.cancel()
	}
}

// Turns implements coordpb.DRPCCoordinatorServer.
func (s service) Turns(st coordpb.DRPCCoordinator_TurnsStream) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	stream := &permitStream{out: make(chan *coordpb.TurnAnswer, permitQueueLen), cancel: cancel}
	s.c.permits.addStream(stream)
	defer s.c.permits.removeStream(stream)
	go func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				_ = st.Close() // ends the reading below
				return
			case a := <-stream.out:
				if st.Send(a) != nil {
					return
				}
			}
		}
	}()
	for {
		e, err := st.Recv()
		if err != nil {
			return err
		}
		if needsActingHost(e) && !s.c.Acting() {
			return errNoLease
		}
		s.c.deps.Metrics.CountKind(metrics.PeerCalls, callTurn, 1)
		s.c.permits.handle(stream, e)
	}
}

// needsActingHost says whether an event is a question, which only the host answers that acts for all.
func needsActingHost(e *coordpb.TurnEvent) bool {
	return e.Kind == coordpb.TurnEvent_ASK || e.Kind == coordpb.TurnEvent_CHARGE
}

// errNoTurns: no host decides for all; this one decides by itself.
var errNoCoordinator = errors.New("no host decides for all")
