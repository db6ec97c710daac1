package backpressure

// Brittle is an upstream's statement that it falls over when it has to refuse more than a
// number of requests in a second, of all hosts together, for want of room.
type Brittle struct {
	Stated   bool
	Refusals int // in a second, which it still stands
}

// stricter reports whether b allows less than o.
func (b Brittle) stricter(o Brittle) bool {
	return b.Stated && (!o.Stated || b.Refusals < o.Refusals)
}

// Fragility is what one account of a brittle upstream may use: all of it, or one host's
// part while no coordinator counts for all.
type Fragility struct {
	Slots    int // requests that it runs at a time and thus has room for
	Refusals int // that may be caused in a second
}

// refusalMargin is the share of the refusals which an upstream stands that hosts may
// cause: requests that no account knows, such as probes by its platform, are refused too.
const refusalMargin = 0.75

// Fragility returns what all hosts together may use.
func (b Brittle) Fragility(slots int) Fragility {
	return Fragility{Slots: max(slots, 1), Refusals: int(float64(b.Refusals) * refusalMargin)}
}

// PartOf returns the share of one host: a part of the slots, and no refusals. A request
// beyond the slots can take the place of another host's, whose refusal this host would
// not see. The shares of all hosts add up to the slots. offset differs between upstreams,
// so that a host which gets nothing at one of them gets something at another.
func (f Fragility) PartOf(s Share, offset int) Fragility {
	if s.Count <= 0 {
		return Fragility{}
	}
	place := (s.Index + offset) % s.Count
	slots := f.Slots / s.Count
	if place < f.Slots%s.Count {
		slots++
	}
	return Fragility{Slots: slots}
}

// Scaled returns the share of several hosts that one coordinator counts for. While others
// decide by themselves, there are no refusals to use, as for them.
func (f Fragility) Scaled(share float64) Fragility {
	if share >= 1 {
		return f
	}
	return Fragility{Slots: int(float64(f.Slots) * share)}
}
