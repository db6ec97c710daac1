package link

import (
	"sync/atomic"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
)

// roundTrip is the round trip of this host's last report to another host.
type roundTrip struct{ last atomic.Pointer[measuredTrip] }

// measuredTrip is how long a report to an address took.
type measuredTrip struct {
	address string
	took    time.Duration
}

// record records how long a report took. One that failed says nothing.
func (t *roundTrip) record(address string, took time.Duration, err error) {
	if err != nil {
		t.last.Store(nil)
		return
	}
	t.last.Store(&measuredTrip{address, min(took, time.Hour)})
}

// microseconds returns how long the last report took if it went to an address; 0: it is not
// known.
func (t *roundTrip) microseconds(address string) uint32 {
	if m := t.last.Load(); m != nil && m.address == address {
		return uint32(m.took.Microseconds())
	}
	return 0
}

// addPlace adds to a report where this host is and how far from the coordinator, if the
// upstreams are in more than one data centre. Otherwise all are equally far.
func (l *Link) addPlace(r *coordpb.HostReport, coordinator string) {
	if !l.deps.Fleet.SpansDataCentres() {
		return
	}
	r.DataCentre = l.cfg.DataCentre
	if !l.own.Acting() {
		r.RoundTripUs = l.roundTrip.microseconds(coordinator)
	}
}
