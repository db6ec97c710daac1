package prefill

import (
	"math"
	"time"
)

// exposure is the decaying sum of the third powers of the spans in which prompts were
// read, in seconds. Divided by that of a bound it is the sum of the chances that a stream
// with the bound would have paused for too long.
type exposure struct {
	sum float64
	at  time.Time
}

// exposureWindow is the time over which readings count. It spans several prompts of an
// engine that reads for a tenth of its time, and the demand for a model lasts longer.
const exposureWindow = 3 * time.Second

func (e *exposure) add(span time.Duration, now time.Time) {
	e.sum, e.at = e.decayed(now)+cube(span.Seconds()), now
}

func (e *exposure) decayed(now time.Time) float64 {
	if e.sum == 0 {
		return 0
	}
	return e.sum * math.Exp(-now.Sub(e.at).Seconds()/exposureWindow.Seconds())
}

// Exposure predicts the chance that a stream which begins at the engine, takes so long and
// has this bound becomes late because of the prompts that the engine reads meanwhile, if
// they come as they did lately. Long streams thus gather where few large prompts are
// read, and by Late large prompts go where they are not.
func (p *Pipeline) Exposure(answer, bound time.Duration, now time.Time) float64 {
	if bound <= 0 {
		return 0
	}
	perSecond := p.exposure.decayed(now) / exposureWindow.Seconds()
	return min(1, perSecond*answer.Seconds()/cube(bound.Seconds()))
}
