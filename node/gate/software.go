package gate

import (
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
)

// Upstreams of several versions of their software may serve side by side, and what two of
// them write of one stream does not fit together. A stream goes on only at the version that
// began it. Upstreams do not check this.

// Reasons why a stream does not go on.
const (
	whyOtherSoftware = "other_version" // the answer is of another version than the stream
	whyVersionGone   = "version_gone"  // no upstream of the stream's version is left
)

// softwareVersion is the version of an upstream's software. A failover reads it while the
// stream begins.
type softwareVersion struct{ v atomic.Pointer[string] }

func (s *softwareVersion) get() string {
	if v := s.v.Load(); v != nil {
		return *v
	}
	return ""
}

func (s *softwareVersion) set(v string) {
	if v != "" {
		s.v.Store(&v)
	}
}

// mayGoOnAt reports whether an upstream may be sent the request, as far as the version of
// its software is concerned.
func (q *request) mayGoOnAt(e *fleet.Entry) bool { return balance.MayGoOn(e.Software(), q.began.get()) }

// beginStream records which version began the stream, when the caller gets its first bytes.
func (q *request) beginStream(a exchange, first []byte) {
	if !q.started && len(first) > 0 && q.began.get() == "" {
		q.began.set(a.Software())
	}
}

// versionGone reports whether a stream cannot go on because no upstream of its version is
// left.
func (q *request) versionGone() bool {
	return q.began.get() != "" && !q.g.deps.Fleet.HasUsable(q.service.Name, q.mayGoOnAt)
}

// endVersionGone ends a stream whose version is gone. One that has not started here has not
// run: its caller may begin it anew.
func (q *request) endVersionGone(p selection) {
	p.release()
	q.g.deps.Log.Emit(event.StreamNotTakenUp, q.id(), q.routeName(), zap.String("why", whyVersionGone), zap.String("software", q.began.get()))
	switch {
	case q.r.Context().Err() != nil:
		q.callerLeft()
	case q.deliverFailed != nil:
		q.deliverFailed()
	default:
		q.endUnserved(http.StatusBadGateway, whyVersionGone, upstreamRetry)
	}
}
