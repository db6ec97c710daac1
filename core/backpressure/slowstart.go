package backpressure

// SlowStart lets an upstream that has turned requests away have them back little
// by little: one at first, and twice as many with each that it answers. The zero
// value holds nothing back. Its owner guards it.
type SlowStart struct {
	room int // requests that may be out; 0: any number
	out  int
}

// usualSlots is how many requests an upstream of unknown size is taken to run.
const usualSlots = 8

// Start starts with one request.
func (s *SlowStart) Start() { s.room = 1 }

// Active says whether requests are held back.
func (s *SlowStart) Active() bool { return s.room > 0 }

// AtLimit says whether no more may be sent until one is answered, or ends.
func (s *SlowStart) AtLimit() bool { return s.room > 0 && s.out >= s.room }

// Sent notes a request; it says whether its end and answer are to be told.
func (s *SlowStart) Sent() (counted bool) {
	if s.room == 0 {
		return false
	}
	s.out++
	return true
}

// Answered notes that one that counts was not turned away; the upstream runs so
// many at a time, 0: not known.
func (s *SlowStart) Answered(slots int) {
	if slots == 0 {
		slots = usualSlots
	}
	if s.room *= 2; s.room > slots {
		s.room = 0
	}
}

// Ended notes the end of one that counts.
func (s *SlowStart) Ended() { s.out-- }
