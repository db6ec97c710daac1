package backpressure

// SlowStart gradually increases the requests in flight at an upstream that has refused
// requests: one at first, and twice as many with each request that it answers. The zero
// value holds nothing back. Its owner must guard it.
type SlowStart struct {
	limit    int // maximum of requests in flight; 0 if there is none
	inFlight int
}

// defaultSlots is how many requests an upstream of unknown size is assumed to run.
const defaultSlots = 8

// Start limits the upstream to one request in flight.
func (s *SlowStart) Start() { s.limit = 1 }

// Active reports whether requests are held back.
func (s *SlowStart) Active() bool { return s.limit > 0 }

// AtLimit reports whether no further request may be sent until one is answered or ends.
func (s *SlowStart) AtLimit() bool { return s.limit > 0 && s.inFlight >= s.limit }

// Sent records the sending of a request. It reports whether the request counts, so that
// its answer and its end must be recorded too.
func (s *SlowStart) Sent() (counted bool) {
	if s.limit == 0 {
		return false
	}
	s.inFlight++
	return true
}

// Answered records that a request which counts was answered and not refused. slots is
// how many requests the upstream runs at a time; 0 if that is not known.
func (s *SlowStart) Answered(slots int) {
	if slots == 0 {
		slots = defaultSlots
	}
	if s.limit *= 2; s.limit > slots {
		s.limit = 0
	}
}

// Ended records the end of a request that counts.
func (s *SlowStart) Ended() { s.inFlight-- }
