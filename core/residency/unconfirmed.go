package residency

import "time"

// MaxOrderDelay is how long after sending an order that got no answer may still be
// carried out: upstreams were seen to do so up to 12 s later.
const MaxOrderDelay = 15 * time.Second

// UnconfirmedOrder is an order without an answer: whether it takes effect is not
// known.
type UnconfirmedOrder struct {
	Order Order
	Until time.Time // when the order can no longer be carried out
}

// Unconfirmed returns the orders that may still be carried out, including those to
// the upstream's former process.
func (rec *Record) Unconfirmed(now time.Time) []UnconfirmedOrder {
	return append(unexpired(rec.unconfirmed, now), unexpired(rec.inherited, now)...)
}

// unexpired returns the orders that may still be carried out at now.
func unexpired(orders []UnconfirmedOrder, now time.Time) []UnconfirmedOrder {
	var out []UnconfirmedOrder
	for _, d := range orders {
		if now.Before(d.Until) {
			out = append(out, d)
		}
	}
	return out
}

// InheritUnconfirmed adds the unconfirmed orders from the record of a former
// process of the upstream. A process that restarts under the same name counts its
// orders from 0 again, so that a late order to its former process can meet the
// number that the order names, and load a model into memory that this record
// counts as free. That memory stays reserved until the upstream's count has passed
// the number.
func (rec *Record) InheritUnconfirmed(orders []UnconfirmedOrder) {
	rec.inherited = append(rec.inherited, orders...)
}

// inheritedLoads returns the loads for a former process that match and may still
// be carried out by the current one. Orders to the current process need no
// reservation: the next order bears the same number, and only one of the two is
// carried out.
func (rec *Record) inheritedLoads(match func(*UnconfirmedOrder) bool) []UnconfirmedOrder {
	var out []UnconfirmedOrder
	for i := range rec.inherited {
		d := &rec.inherited[i]
		if d.Order.Op == Load && d.Order.Expected >= rec.sequence && match(d) {
			out = append(out, *d)
		}
	}
	return out
}

// inheritedLoadsMB returns the megabytes that the inherited loads may take.
func (rec *Record) inheritedLoadsMB() float64 {
	sum := 0.0
	for _, d := range rec.inheritedLoads(func(*UnconfirmedOrder) bool { return true }) {
		spec, ok := rec.engine.Model(d.Order.Model)
		switch {
		case !ok:
		case d.Order.Adapter != "":
			sum += spec.AdapterMB
		case rec.models[d.Order.Model] == nil:
			sum += spec.WeightsMB
		}
	}
	return sum
}
