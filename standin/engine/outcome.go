package engine

import (
	"net/http"
	"strconv"

	"peridotpier.example/node/upstream/engineapi"
)

// serveOutcome answers with the outcome of an attempt. An attempt that is not
// known is blocked by the request for it: its own request may still be in transit,
// and must not run after the caller was told that it did not run.
func (e *Engine) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	a, _ := e.attempts.FindOrAdd(id, blockedAttempt(id))
	inc := e.incarnation
	e.mu.Unlock()
	e.setHeaders(w.Header())
	if a == nil {
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt is no longer known"})
		return
	}
	writeJSON(w, http.StatusOK, a.describe(inc))
}

// blockedAttempt returns the entry for an attempt that a host asked for before its
// request arrived.
func blockedAttempt(id string) *attempt { return &attempt{id: id, outcome: outcomeBlocked} }

func (a *attempt) describe(incarnation string) engineapi.Attempt {
	events, o := a.position()
	d := engineapi.Attempt{ID: a.id, State: o.state(), Position: events, Incarnation: incarnation}
	if o == outcomeCompleted {
		d.Status = http.StatusOK
		d.ContentType = "text/event-stream"
		if !a.stream {
			d.ContentType = jsonType
			d.Body = a.completeBody()
		}
	}
	return d
}

// serveCancel ends an attempt. An attempt that is not known is blocked, because
// its request may arrive after the cancellation.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	a, _ := e.attempts.FindOrAdd(id, blockedAttempt(id))
	if a != nil {
		e.finish(a, outcomeCancelled)
	}
	inc := e.incarnation
	e.mu.Unlock()
	e.setHeaders(w.Header())
	if a == nil {
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt is no longer known"})
		return
	}
	writeJSON(w, http.StatusOK, a.describe(inc))
}

// serveResume continues a stream after the position that the caller has received.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	a, _ := e.attempts.Find(r.PathValue("id"))
	e.mu.Unlock()
	if a == nil || err != nil || after < 0 || after > a.answer.Tokens+1 {
		e.setHeaders(w.Header())
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such stream or position"})
		return
	}
	if _, o := a.position(); o != outcomeRunning && o != outcomeCompleted {
		e.setHeaders(w.Header())
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt ended: " + string(o.state())})
		return
	}
	e.stream(w, r, a, a.attach(), after)
}
