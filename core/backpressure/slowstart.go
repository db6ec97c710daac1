package backpressure

// SlowStart lets an upstream that has turned requests away have them back little
// by little: one at first, and twice as many with each that it answers. The zero
// value holds nothing back. Its owner guards it.
type SlowStart struct {
	limit    int // requests that may be out; 0: any number
	inFlight int
}

// defaultSlots is how many requests an upstream of unknown size is taken to run.
const defaultSlots = 8

// Start starts with one request.
func (s *SlowStart) Start() { s.limit = 1 }

// Active says whether requests are held back.
func (s *SlowStart) Active() bool { return s.limit > 0 }

// AtLimit says whether no more may be sent until one is answered, or ends.
func (s *SlowStart) AtLimit() bool { return s.limit > 0 && s.inFlight >= s.limit }

// Sent notes a request; it says whether its end and answer are to be told.
func (s *SlowStart) Sent() (counted bool) {
	if s.limit == 0 {
		return false
	}
	s.inFlight++
	return true
}

// Answered notes that one that counts was not turned away; the upstream runs so
// many at a time, 0: not known.
func (s *SlowStart) Answered(slots int) {
	if slots == 0 {
		slots = defaultSlots
	}
	if s.limit *= 2; s.limit > slots {
		s.limit = 0
	}
}

// Ended notes the end of one that counts.
func (s *SlowStart) Ended() { s.inFlight-- }
