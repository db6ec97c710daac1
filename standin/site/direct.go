package site

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"peridotpier.example/node/upstream/engineapi"
	"peridotpier.example/standin/engine"
)

// DirectHandler returns an idealised entry host that can't exist: it knows each
// engine's actual state without lag and passes each request without a network to the
// least loaded engine that has the model ready. Compared with a routing policy over the
// same placement it shows what lag and distance cost; it also calibrates demand.
func (u *Upstreams) DirectHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathChat, u.directGeneration)
	mux.HandleFunc("/v1/services/{service}/{path...}", u.directServiceCall)
	return mux
}

func (u *Upstreams) directGeneration(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var q struct {
		Model string `json:"model"`
	}
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil {
		writeDirectError(w, http.StatusBadRequest, "bad_request")
		return
	}
	e := u.leastLoaded(q.Model)
	if e == nil {
		writeDirectError(w, http.StatusServiceUnavailable, "no_upstream")
		return
	}
	if maxQueue := u.Site.Engines.MaxQueue; maxQueue > 0 && e.ActualState().Waiting >= maxQueue {
		writeDirectError(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.Header.Set(engineapi.HeaderAttempt, uuid.NewString())
	r.Header.Set(engineapi.HeaderPriority, priorities[r.Header.Get("Peridot-Class")])
	e.Handler().ServeHTTP(w, r)
}

// priorities maps callers' classes to the engines' priority numbers.
var priorities = map[string]string{"bulk": "0", "standard": "1", "urgent": "2"}

// leastLoaded returns the engine with the lowest actual load among those that have the
// model or adapter ready now, or nil if there is none.
func (u *Upstreams) leastLoaded(name string) *engine.Engine {
	var best *engine.Engine
	least := 0
	for _, e := range u.Engines {
		r := e.ActualState()
		if load := r.Running + r.Waiting; canServe(&r, name) && (best == nil || load < least) {
			best, least = e, load
		}
	}
	return best
}

func canServe(r *engineapi.Report, name string) bool {
	if r.Draining {
		return false
	}
	for _, res := range r.Residents {
		loaded := res.Model
		if res.Adapter != "" {
			loaded = res.Adapter
		}
		if loaded == name && res.State == engineapi.StateReady {
			return true
		}
	}
	return false
}

func (u *Upstreams) directServiceCall(w http.ResponseWriter, r *http.Request) {
	for _, up := range u.Config.Upstreams {
		if u.serviceForPool(up.Pool) != r.PathValue("service") {
			continue
		}
		for _, s := range u.Services {
			if s.Name() == up.Name {
				r.Header.Set(engineapi.HeaderAttempt, uuid.NewString())
				r.URL.Path = engineapi.PathService + strings.TrimPrefix(r.PathValue("path"), "/")
				s.Handler().ServeHTTP(w, r)
				return
			}
		}
	}
	writeDirectError(w, http.StatusNotFound, "not_found")
}

func writeDirectError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `{"error":{"message":"`+code+`","type":"server_error","code":"`+code+`","outcome":"not_run"}}`)
}
