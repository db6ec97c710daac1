package residency

import "time"

// MaxOrderDelay is how long after it was sent an order without an answer may still
// be carried out: upstreams were seen to do so up to 12 s later.
const MaxOrderDelay = 15 * time.Second

// UnconfirmedOrder is an order without an answer.
type UnconfirmedOrder struct {
	Order Order
	Until time.Time // when it can be carried out no more
}

// Unconfirmed are the orders that may still be carried out.
func (rec *Record) Unconfirmed(now time.Time) []UnconfirmedOrder {
	return append(unexpired(rec.unconfirmed, now), unexpired(rec.inherited, now)...)
}

func unexpired(orders []UnconfirmedOrder, now time.Time) []UnconfirmedOrder {
	var out []UnconfirmedOrder
	for _, d := range orders {
		if now.Before(d.Until) {
			out = append(out, d)
		}
	}
	return out
}

// InheritUnconfirmed takes over what was in doubt in the account of a former process of the
// upstream. A process that starts again under the same name counts its orders
// from 0, so that a late order for its former process can meet the number that
// it names, and load a model into room that this account takes for free. Its
// room stays taken until the upstream's count has passed the number.
func (rec *Record) InheritUnconfirmed(doubts []UnconfirmedOrder) {
	rec.inherited = append(rec.inherited, doubts...)
}

// inheritedLoads are the loads for a former process that may still be carried out
// here. Orders to this process need no charge: the next one bears the same
// number, and only one of them is carried out.
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

// inheritedLoadsMB is the memory that they may take, in megabytes.
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
