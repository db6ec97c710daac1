package coordinator

import (
	"context"
	"errors"

	"peridotpier.example/node/coordinator/coordpb"
	"peridotpier.example/node/metrics"
)

// turnQueue is how many answers may wait to be sent to one host. A host that
// is that slow decides by itself anyway.
const turnQueue = 512

// turnStream is one host's stream of questions.
type turnStream struct {
	out    chan *coordpb.TurnAnswer
	cancel context.CancelFunc
}

// send queues an answer; a host that does not read loses its stream.
func (s *turnStream) send(a *coordpb.TurnAnswer) {
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
	own := &turnStream{out: make(chan *coordpb.TurnAnswer, turnQueue), cancel: cancel}
	s.c.turns.enter(own)
	defer s.c.turns.leave(own)
	go func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				_ = st.Close() // ends the reading below
				return
			case a := <-own.out:
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
		if asks(e) && !s.c.Acting() {
			return errNotHolding
		}
		s.c.deps.Metrics.CountKind(metrics.PeerCalls, callTurn, 1)
		s.c.turns.take(own, e)
	}
}

// asks says whether an event is a question, which only the host answers that acts for all.
func asks(e *coordpb.TurnEvent) bool {
	return e.Kind == coordpb.TurnEvent_ASK || e.Kind == coordpb.TurnEvent_CHARGE
}

// errNoTurns: no host decides for all; this one decides by itself.
var errNoTurns = errors.New("no host decides for all")
