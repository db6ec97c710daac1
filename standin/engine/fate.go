package engine

import (
	"net/http"
	"strconv"

	"peridotpier.example/node/upstream/engineapi"
)

// serveFate tells what became of an attempt. One that was never here is
// poisoned by the question: its request may still be on its way, and must not
// run after its caller was told that it did not.
func (e *Engine) serveFate(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	a, _ := e.attempts.FindOrAdd(id, never(id))
	inc := e.incarnation
	e.mu.Unlock()
	e.stamp(w.Header())
	if a == nil {
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt is no longer known"})
		return
	}
	writeJSON(w, http.StatusOK, a.describe(inc))
}

// never is an attempt that was asked for before it came.
func never(id string) *attempt { return &attempt{id: id, fate: fatePoisoned} }

func (a *attempt) describe(incarnation string) engineapi.Attempt {
	events, f := a.position()
	d := engineapi.Attempt{ID: a.id, State: f.state(), Position: events, Incarnation: incarnation}
	if f == fateCompleted {
		d.Status = http.StatusOK
		d.ContentType = "text/event-stream"
		if !a.stream {
			d.ContentType = jsonType
			d.Body = a.wholeBody()
		}
	}
	return d
}

// serveCancel ends an attempt. One that was never here is poisoned, since the
// request may arrive after its cancellation.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	a, _ := e.attempts.FindOrAdd(id, never(id))
	if a != nil {
		e.finish(a, fateCancelled)
	}
	inc := e.incarnation
	e.mu.Unlock()
	e.stamp(w.Header())
	if a == nil {
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt is no longer known"})
		return
	}
	writeJSON(w, http.StatusOK, a.describe(inc))
}

// serveResume goes on with a stream after the position that the caller has.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	a, _ := e.attempts.Find(r.PathValue("id"))
	e.mu.Unlock()
	if a == nil || err != nil || after < 0 || after > a.answer.Tokens+1 {
		e.stamp(w.Header())
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such stream or position"})
		return
	}
	if _, f := a.position(); f != fateRunning && f != fateCompleted {
		e.stamp(w.Header())
		writeJSON(w, http.StatusGone, map[string]string{"error": "attempt ended: " + string(f.state())})
		return
	}
	e.stream(w, r, a, a.attach(), after)
}
