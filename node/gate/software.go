package gate

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peridotpier.example/core/balance"
	"peridotpier.example/core/deploy"
	"peridotpier.example/node/event"
	"peridotpier.example/node/fleet"
	"peridotpier.example/node/metrics"
	"peridotpier.example/node/origin"
)

// Upstreams of several versions of their software may serve side by side, and what two of
// them write of one stream does not fit together. A stream goes on only at the version that
// began it. Upstreams do not check this.

// Reasons why a stream does not go on.
const (
	whyOtherSoftware  = "other_version"    // the answer is of another version than the stream
	whyVersionGone    = "version_gone"     // no upstream of the stream's version is left
	whyStreamUnknown  = "stream_unknown"   // nobody knows which version began the stream
	whySeveral        = "several_versions" // several versions may have begun the stream
	whyInvalidResumes = "invalid_resumes"
)

const (
	// unknownRetry is the delay after which a stream may be known that nobody knows: its host
	// has told the others by then.
	unknownRetry = 200 * time.Millisecond
	// severalRetry is the delay after which a caller that names no attempt may ask again: once
	// there are several versions, that lasts longer than most streams.
	severalRetry = time.Second
)

// originSlack is for how much longer than its first attempt may last a stream can be taken up.
const originSlack = 5 * time.Second

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
	if q.started || len(first) == 0 {
		return
	}
	if q.began.get() == "" {
		q.began.set(a.Software())
	}
	q.recordOrigin()
}

// recordOrigin records which version began the stream, for callers that take it up.
func (q *request) recordOrigin() {
	o, software := q.g.deps.Origins, q.began.get()
	if o == nil || software == "" || q.hop != nil || !q.route.Resumable {
		return // a host that forwards a request records it
	}
	attempt := q.info.AttemptID
	if q.info.Resumes != "" {
		attempt = q.info.Resumes
	}
	team, service := q.caller.name(), q.service.Name
	ttl := min(q.deadline.Sub(q.g.deps.Now())+originSlack, origin.MaxStreamTTL)
	o.RecordOrigin(service, origin.Record{Attempt: origin.KeyOf(team, service, attempt), Content: q.contentKey(service), Software: software, TTL: ttl})
}

func (q *request) contentKey(service string) origin.Key {
	return origin.ContentKey(q.caller.name(), service, q.r.Method, q.r.Host, q.r.RequestURI, q.body)
}

// takesUp reports whether the caller has a part of the stream already.
func (q *request) takesUp() bool {
	return q.route.Kind == deploy.Stream && (q.info.Resumes != "" || q.info.ResumesInvalid || q.info.LastEventID != "")
}

// findOrigin finds which version began the stream that a caller takes up. If nobody knows,
// it refuses the request and returns false: a guess could join two versions.
func (q *request) findOrigin() bool {
	if q.hop != nil || q.g.deps.Origins == nil || !q.takesUp() {
		return true // the host that forwards a request has found it
	}
	if q.info.ResumesInvalid {
		q.notTakenUp(whyInvalidResumes)
		q.decline(http.StatusBadRequest, whyInvalidResumes)
		return false
	}
	several, from := false, ""
	for i := range q.route.Splits {
		service, ok := q.table.Service(q.route.Splits[i].Service)
		if !ok {
			continue
		}
		found, source := q.searchOrigin(service.Name)
		if found.Several {
			several, from = true, source
		}
		if !found.Known() {
			continue
		}
		q.service = service
		q.began.set(found.Software)
		q.g.deps.Metrics.CountKind(metrics.StreamsTakenUp, "known", 1)
		q.g.deps.Log.Emit(event.StreamTakenUp, q.id(), q.routeName(), zap.String("resumes", q.info.Resumes), zap.String("software", found.Software),
			zap.String("source", source), zap.Bool("by_content", q.info.Resumes == ""), zap.String("last_event", q.info.LastEventID))
		return true
	}
	if several {
		q.notTakenUp(whySeveral, zap.String("source", from))
		q.refuse(whySeveral, severalRetry)
		return false
	}
	q.notTakenUp(whyStreamUnknown)
	q.refuse(whyStreamUnknown, unknownRetry)
	return false
}

// searchOrigin finds which version began the stream that the caller takes up, if that was at a
// service.
func (q *request) searchOrigin(service string) (f origin.Finding, source string) {
	if q.info.Resumes == "" {
		return q.g.deps.Origins.FindOriginByContent(q.r.Context(), service, q.contentKey(service))
	}
	return q.g.deps.Origins.FindOrigin(q.r.Context(), origin.KeyOf(q.caller.name(), service, q.info.Resumes))
}

// notTakenUp records that a stream does not go on.
func (q *request) notTakenUp(why string, more ...zap.Field) {
	q.g.deps.Metrics.CountKind(metrics.StreamsTakenUp, why, 1)
	fields := []zap.Field{q.id(), q.routeName(), zap.String("why", why), zap.String("resumes", q.info.Resumes),
		zap.String("software", q.began.get()), zap.String("last_event", q.info.LastEventID)}
	q.g.deps.Log.Emit(event.StreamNotTakenUp, append(fields, more...)...)
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
	q.notTakenUp(whyVersionGone)
	q.endUnlessAnswered(whyVersionGone, upstreamRetry)
}
