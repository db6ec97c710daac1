package link

import (
	"sync/atomic"
	"time"

	"peridotpier.example/node/coordinator/coordpb"
)

// roundTrip is the round trip of this host's last report to another host, in microseconds;
// 0: it is not known.
type roundTrip struct{ us atomic.Uint32 }

// record records how long a report took. One that failed says nothing.
func (t *roundTrip) record(took time.Duration, err error) {
	if err != nil {
		took = 0
	}
	t.us.Store(uint32(min(took, time.Hour).Microseconds()))
}

// addPlace adds to a report where this host is and how far from the coordinator, if the
// upstreams are in more than one data centre. Otherwise all are equally far.
func (l *Link) addPlace(r *coordpb.HostReport) {
	if !l.deps.Fleet.SpansDataCentres() {
		return
	}
	r.DataCentre = l.cfg.DataCentre
	if !l.own.Acting() {
		r.RoundTripUs = l.roundTrip.us.Load()
	}
}
