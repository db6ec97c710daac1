package gate

import "time"

// leavingHold is how long after its start a request is held at most by a host
// that stops. Callers come for 2.5 s after the signal; what was held then has
// half of a usual grace left for its answer.
const leavingHold = time.Second
